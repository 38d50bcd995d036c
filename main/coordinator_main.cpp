#include "main/coordinator_program.h"

int main(int argc, char** argv)
{
    return curranttrail::runCoordinatorProgram(argc, argv);
}
