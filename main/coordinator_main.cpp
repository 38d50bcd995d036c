#include "main/coordinator_program.h"
#include "main/early_signals.h"

int main(int argc, char** argv)
{
    curranttrail::ignoreEarlySignals();
    return curranttrail::runCoordinatorProgram(argc, argv);
}
