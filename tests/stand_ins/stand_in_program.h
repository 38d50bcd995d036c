#pragma once

#include <functional>
#include <string>

namespace curranttrail::stand_ins {

// The arguments of a stand-in program.
struct ProgramArguments {
    std::string settingsPath;
    std::string portsPath;
    std::string platformPath;
};

// Reads "--settings FILE [--ports-file FILE] [--platform-file FILE]". Ends the process if they are wrong.
ProgramArguments parseArguments(int argc, char** argv, const std::string& purpose);

// Writes the file under another name first, so that a reader never sees half of it. An empty path writes nothing.
void replaceFile(const std::string& path, const std::string& content);

// Blocks until SIGTERM or SIGINT.
void waitForStopSignal();

} // namespace curranttrail::stand_ins
