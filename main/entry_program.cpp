#include "main/entry_program.h"

#include "main/daemon_program.h"
#include "main/entry_daemon.h"
#include "main/entry_settings.h"
#include "main/events.h"
#include "main/stop_request.h"
#include "transport/io_threads.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <fstream>

namespace curranttrail {

namespace {

    struct Arguments {
        std::string settings;
        std::string portsFile;
        bool checkOnly = false;
    };

    Arguments parseArguments(int argc, const char* const* argv)
    {
        TCLAP::CmdLine line("Entry instance of curranttrail: answers queries from backend servers.", ' ', CURRANTTRAIL_VERSION);
        line.setExceptionHandling(false);
        TCLAP::UnlabeledValueArg<std::string> settings("settings", "Settings file in TOML.", true, "", "FILE", line);
        TCLAP::ValueArg<std::string> ports("", "ports-file", "Write the ports in use to this file.", false, "", "FILE", line);
        TCLAP::SwitchArg check("", "check", "Check the settings file and exit.", line);
        line.parse(argc, argv);
        return { settings.getValue(), ports.getValue(), check.getValue() };
    }

    // Writes a temporary file and renames it, so that a reader never sees a partial file.
    void writePorts(const std::string& path, const EntryDaemon& daemon)
    {
        if (path.empty())
            return;
        std::ofstream(path + ".new") << "http=" << daemon.httpPort() << "\nframes=" << daemon.framesPort() << "\n";
        std::rename((path + ".new").c_str(), path.c_str());
    }

    int run(const EntrySettings& settings, const std::string& portsFile)
    {
        transport::EventSink sink({ settings.name, settings.logThreshold });
        sink.log(events::kStarting, { { "version", CURRANTTRAIL_VERSION }, { "owner", settings.owner }, { "data_centre", settings.dataCentre } });
        transport::IoThreads signalThread(1);
        StopRequest stop(signalThread, sink);
        EntryDaemon daemon(settings, sink);
        daemon.start();
        writePorts(portsFile, daemon);
        stop.wait();
        const bool complete = daemon.stop();
        sink.log(events::kStopped);
        return complete ? 0 : 1;
    }

} // namespace

int runEntryProgram(int argc, const char* const* argv)
{
    return runWithErrorReport("curranttrail-entry", [&] {
        const Arguments arguments = parseArguments(argc, argv);
        return runWithSettings<EntrySettings>(arguments.settings, arguments.checkOnly, &readEntrySettings,
            [&](const EntrySettings& settings) { return run(settings, arguments.portsFile); });
    });
}

} // namespace curranttrail
