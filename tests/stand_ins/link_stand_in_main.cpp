#include "tests/stand_ins/link_stand_in.h"
#include "tests/stand_ins/stand_in_program.h"

using namespace curranttrail;

int main(int argc, char** argv)
{
    const stand_ins::ProgramArguments arguments = stand_ins::parseArguments(argc, argv, "TCP links between processes for tests");
    const SettingsFile file = SettingsFile::load(arguments.settingsPath);
    const stand_ins::LinkStandInSettings settings = stand_ins::readLinkSettings(file);
    if (!file.errors().empty()) {
        printErrors(file.errors());
        return kExitInvalidSettings;
    }
    const stand_ins::LinkStandIn links(settings);
    stand_ins::replaceFile(arguments.portsPath, "ready\n");
    stand_ins::waitForStopSignal();
    return 0;
}
