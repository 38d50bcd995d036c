// Randomised soak test of the real programs as separate processes on loopback. The last line, "N passed, N failed", counts seeds.
#include "tests/soak/soak_harness.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <chrono>
#include <csignal>

using namespace curranttrail;

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Soak test of gateways and coordinators under faults from outside.", ' ', "1");
    TCLAP::ValueArg<std::string> programs("", "programs", "Folder with the programs.", true, "", "DIR", line);
    TCLAP::ValueArg<std::string> folder("", "folder", "Folder for the settings, data and logs of each seed.", true, "", "DIR", line);
    TCLAP::ValueArg<std::uint64_t> first("", "first", "The first seed.", false, 1, "SEED", line);
    TCLAP::ValueArg<std::uint32_t> seeds("", "seeds", "The number of seeds.", false, 1, "N", line);
    TCLAP::ValueArg<std::uint32_t> gateways("", "gateways", "Number of gateways of each run.", false, 3, "N", line);
    TCLAP::ValueArg<std::uint32_t> seconds("", "seconds", "Duration of the fault injection for each seed, in seconds.", false, 12, "N", line);
    TCLAP::SwitchArg withoutNotice("", "without-notice", "Also end replaced coordinators without notice, see KNOWN-RED.txt.", line);
    line.parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    unsigned passed = 0;
    unsigned failed = 0;
    for (std::uint64_t seed = first.getValue(); seed < first.getValue() + seeds.getValue(); ++seed) {
        soak::SoakOptions options;
        options.programs = programs.getValue();
        options.folder = fmt::format("{}/seed-{}", folder.getValue(), seed);
        options.seed = seed;
        options.gateways = gateways.getValue();
        options.withoutNotice = withoutNotice.getValue();
        options.duration = std::chrono::seconds { seconds.getValue() };
        soak::SoakHarness harness(options);
        const soak::SoakResult result = harness.run();
        fmt::print("seed {}: {}; {} requests, {} served, version {} accepted; {}\n", seed, result.violations.empty() ? "ok" : "FAILED", result.requests, result.served, result.acceptedVersion, result.faults);
        for (const std::string& violation : result.violations)
            fmt::print("  {}\n", violation);
        std::fflush(stdout);
        (result.violations.empty() ? passed : failed) += 1;
    }
    fmt::print("{} passed, {} failed\n", passed, failed);
    return failed == 0 ? 0 : 1;
}
