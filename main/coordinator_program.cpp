#include "main/coordinator_program.h"

#include "main/coordinator_daemon.h"
#include "main/daemon_program.h"
#include "main/events.h"
#include "main/feed_events.h"

namespace curranttrail {

namespace {

    int run(const std::string& path, const CoordinatorSettings& settings)
    {
        transport::EventSink sink(standardOutputLogOptions(settings.name));
        sink.log(events::kStarting, { { "version", CURRANTTRAIL_VERSION }, { "data_centre", settings.dataCentre }, { "address", settings.group.text() }, { "bootstrap", settings.bootstrap ? "true" : "false" } });
        transport::IoThreads threads(1);
        CoordinatorDaemon daemon(settings, sink);
        StopRequest stop(threads, sink, [&] {
            if (const std::optional<CoordinatorSettings> changed = reloadSettings<CoordinatorSettings>(path, &readCoordinatorSettings, sink))
                daemon.reload(*changed);
        });
        daemon.start();
        sink.log(events::kReady, { { "http_port", std::to_string(settings.http.port) }, { "group_port", std::to_string(settings.group.port) } });
        return stopOnRequest(daemon, stop, settings.stopTimeout, sink);
    }

} // namespace

int runCoordinatorProgram(int argc, const char* const* argv)
{
    return runWithErrorReport("curranttrail-coordinator", [&] {
        const ProgramArguments arguments = parseProgramArguments(argc, argv, "Control instance of curranttrail that discovers its group through seeds and replicates the configuration document.");
        return runWithSettings<CoordinatorSettings>(arguments.path, arguments.checkOnly, &readCoordinatorSettings,
            [&](const CoordinatorSettings& settings) { return run(arguments.path, settings); });
    });
}

} // namespace curranttrail
