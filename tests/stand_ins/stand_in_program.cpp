#include "tests/stand_ins/stand_in_program.h"

#include "transport/io_threads.h"
#include "transport/signals.h"

#include <tclap/CmdLine.h>

#include <cstdio>
#include <fstream>
#include <future>

namespace curranttrail::stand_ins {

ProgramArguments parseArguments(int argc, char** argv, const std::string& purpose)
{
    TCLAP::CmdLine line(purpose, ' ', CURRANTTRAIL_VERSION);
    TCLAP::ValueArg<std::string> settings("", "settings", "Settings in TOML", true, "", "file", line);
    TCLAP::ValueArg<std::string> ports("", "ports-file", "Write one line name=address for each port", false, "", "file", line);
    TCLAP::ValueArg<std::string> platform("", "platform-file", "Write the settings of the platform stand-in", false, "", "file", line);
    line.parse(argc, argv);
    return { settings.getValue(), ports.getValue(), platform.getValue() };
}

void replaceFile(const std::string& path, const std::string& content)
{
    if (path.empty())
        return;
    const std::string temporary = path + ".new";
    std::ofstream(temporary) << content;
    std::rename(temporary.c_str(), path.c_str());
}

void waitForStopSignal()
{
    std::promise<void> stopped;
    std::atomic<bool> received { false };
    transport::IoThreads threads(1);
    const transport::SignalHandler signals(threads, [&](int) {
        if (!received.exchange(true))
            stopped.set_value();
    });
    stopped.get_future().wait();
}

} // namespace curranttrail::stand_ins
