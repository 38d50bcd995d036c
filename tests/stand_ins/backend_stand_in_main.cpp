#include "tests/stand_ins/backend_fleet.h"
#include "tests/stand_ins/stand_in_program.h"

#include <fmt/format.h>

using namespace curranttrail;

int main(int argc, char** argv)
{
    const stand_ins::ProgramArguments arguments = stand_ins::parseArguments(argc, argv, "Backend servers for tests");
    const SettingsFile file = SettingsFile::load(arguments.settingsPath);
    const stand_ins::FleetSettings settings = stand_ins::readFleetSettings(file);
    if (!file.errors().empty()) {
        printErrors(file.errors());
        return kExitInvalidSettings;
    }
    transport::IoThreads threads(2);
    const stand_ins::BackendFleet fleet(threads, settings);
    stand_ins::replaceFile(arguments.platformPath, fleet.platformToml());
    stand_ins::replaceFile(arguments.portsPath, fleet.portsText());
    stand_ins::waitForStopSignal();
    threads.stop();
    return 0;
}
