#include "main/gateway_program.h"

int main(int argc, char** argv)
{
    return curranttrail::runGatewayProgram(argc, argv);
}
