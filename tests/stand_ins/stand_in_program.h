#pragma once

#include <functional>
#include <string>

namespace curranttrail::stand_ins {

// Command line arguments of a stand-in program.
struct ProgramArguments {
    std::string settingsPath;
    std::string portsPath;
    std::string platformPath;
};

// Parses "--settings FILE [--ports-file FILE] [--platform-file FILE]". Exits the process if the arguments are invalid.
ProgramArguments parseArguments(int argc, char** argv, const std::string& purpose);

// Writes the file under a temporary name and renames it, so that readers never see a partial file. Does nothing if the path is
// empty.
void replaceFile(const std::string& path, const std::string& content);

// Blocks until the process receives SIGTERM or SIGINT.
void waitForStopSignal();

} // namespace curranttrail::stand_ins
