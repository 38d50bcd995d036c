#include "main/early_signals.h"
#include "main/gateway_program.h"

int main(int argc, char** argv)
{
    curranttrail::ignoreEarlySignals();
    return curranttrail::runGatewayProgram(argc, argv);
}
