#include "main/gateway_program.h"

#include "main/daemon_program.h"
#include "main/events.h"
#include "main/gateway_daemon.h"
#include "transport/io_threads.h"

namespace curranttrail {

namespace {

    int run(const std::string& path, const GatewaySettings& settings)
    {
        transport::EventSink sink(standardOutputLogOptions(settings.name));
        sink.log(events::kStarting, { { "version", CURRANTTRAIL_VERSION }, { "data_centre", settings.dataCentre }, { "callers", settings.callers.text() } });
        GatewayDaemon daemon(settings, sink);
        transport::IoThreads threads(1);
        const auto reload = [&] {
            if (const std::optional<GatewaySettings> changed = reloadSettings<GatewaySettings>(path, &readGatewaySettings, sink))
                daemon.reload(*changed);
        };
        const StopRequest stop(threads, sink, reload, [&] { daemon.stop(); });
        daemon.run();
        sink.log(events::kStopped);
        return 0;
    }

} // namespace

int runGatewayProgram(int argc, const char* const* argv)
{
    return runWithErrorReport("curranttrail-gateway", [&] {
        const ProgramArguments arguments = parseProgramArguments(argc, argv, "Entry instance of curranttrail that forwards HTTP requests by the routes of the configuration document.");
        return runWithSettings<GatewaySettings>(arguments.path, arguments.checkOnly, &readGatewaySettings,
            [&](const GatewaySettings& settings) { return run(arguments.path, settings); });
    });
}

} // namespace curranttrail
