#include "main/control_program.h"

int main(int argc, char** argv)
{
    return curranttrail::runControlProgram(argc, argv);
}
