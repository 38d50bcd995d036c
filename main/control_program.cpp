#include "main/control_program.h"

#include "main/control_daemon.h"
#include "main/control_settings.h"
#include "main/daemon_program.h"
#include "main/events.h"
#include "transport/io_threads.h"

namespace curranttrail {

namespace {

    int run(const ControlSettings& settings)
    {
        transport::EventSink sink({ settings.name, settings.logThreshold });
        sink.log(events::kStarting, { { "version", CURRANTTRAIL_VERSION }, { "owner", settings.owner }, { "data_centre", settings.dataCentre } });
        transport::IoThreads threads(1);
        StopRequest stop(threads, sink);
        ControlDaemon daemon(settings, sink);
        daemon.start(settings.peers);
        return stopOnRequest(daemon, stop, settings.stopTimeout, sink);
    }

} // namespace

int runControlProgram(int argc, const char* const* argv)
{
    return runWithErrorReport("curranttrail-control", [&] {
        const ProgramArguments arguments = parseProgramArguments(argc, argv, "Control instance of curranttrail: one replica of an owner's configuration and claims.");
        return runWithSettings<ControlSettings>(arguments.path, arguments.checkOnly, &readControlSettings,
            [&](const ControlSettings& settings) { return run(settings); });
    });
}

} // namespace curranttrail
