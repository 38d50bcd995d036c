#include "main/control_program.h"

#include "main/control_daemon.h"
#include "main/control_settings.h"
#include "main/daemon_program.h"
#include "main/events.h"
#include "main/stop_request.h"
#include "transport/io_threads.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

namespace curranttrail {

namespace {

    struct Arguments {
        std::string settings;
        bool checkOnly = false;
    };

    Arguments parseArguments(int argc, const char* const* argv)
    {
        TCLAP::CmdLine line("Control instance of curranttrail: one replica of an owner's configuration and claims.", ' ', CURRANTTRAIL_VERSION);
        line.setExceptionHandling(false);
        TCLAP::UnlabeledValueArg<std::string> settings("settings", "Settings file in TOML.", true, "", "FILE", line);
        TCLAP::SwitchArg check("", "check", "Check the settings file and end.", line);
        line.parse(argc, argv);
        return { settings.getValue(), check.getValue() };
    }

    int run(const ControlSettings& settings)
    {
        transport::EventSink sink({ settings.name, settings.logThreshold });
        sink.log(events::kStarting, { { "version", CURRANTTRAIL_VERSION }, { "owner", settings.owner }, { "data_centre", settings.dataCentre } });
        transport::IoThreads threads(1);
        StopRequest stop(threads, sink);
        ControlDaemon daemon(settings, sink);
        daemon.start(settings.peers);
        stop.wait();
        sink.log(events::kDraining);
        daemon.stop(std::chrono::duration_cast<std::chrono::milliseconds>(settings.stopLimit));
        sink.log(events::kStopped);
        return 0;
    }

} // namespace

int runControlProgram(int argc, const char* const* argv)
{
    return runGuarded("curranttrail-control", [&] {
        const Arguments arguments = parseArguments(argc, argv);
        return runWithSettings<ControlSettings>(arguments.settings, arguments.checkOnly, &readControlSettings,
            [&](const ControlSettings& settings) { return run(settings); });
    });
}

} // namespace curranttrail
