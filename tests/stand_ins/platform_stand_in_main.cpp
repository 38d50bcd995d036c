#include "tests/stand_ins/platform_stand_in.h"
#include "tests/stand_ins/stand_in_program.h"

#include <fmt/format.h>

using namespace curranttrail;

namespace {

constexpr Micros kReadInterval { 100'000 };

// Reads the file periodically, so that a test can change the list by replacing the file.
void readRepeatedly(transport::IoThreads& threads, stand_ins::PlatformStandIn& platform, const std::string& path)
{
    threads.after(kReadInterval, [&threads, &platform, path] {
        const SettingsFile file = SettingsFile::load(path);
        file.root().endpoint("listen", { "127.0.0.1", 0 });
        file.root().duration("lag", Micros { 0 }, Micros { 0 }, Micros { 600'000'000 });
        const std::string body = stand_ins::readInstances(file);
        if (file.errors().empty())
            platform.set(body);
        else
            printErrors(file.errors());
        readRepeatedly(threads, platform, path);
    });
}

} // namespace

int main(int argc, char** argv)
{
    const stand_ins::ProgramArguments arguments = stand_ins::parseArguments(argc, argv, "The platform's list of instances for tests");
    const SettingsFile file = SettingsFile::load(arguments.settingsPath);
    const transport::Endpoint listen = file.root().endpoint("listen", { "127.0.0.1", 0 });
    const Micros lag = file.root().duration("lag", Micros { 0 }, Micros { 0 }, Micros { 600'000'000 });
    const std::string body = stand_ins::readInstances(file);
    if (!file.errors().empty()) {
        printErrors(file.errors());
        return kExitInvalidSettings;
    }
    transport::IoThreads threads(1);
    stand_ins::PlatformStandIn platform(threads, listen, lag);
    platform.set(body);
    readRepeatedly(threads, platform, arguments.settingsPath);
    stand_ins::replaceFile(arguments.portsPath, fmt::format("platform=127.0.0.1:{}\n", platform.port()));
    stand_ins::waitForStopSignal();
    threads.stop();
    return 0;
}
