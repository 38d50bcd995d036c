#include "main/entry_program.h"

int main(int argc, char** argv)
{
    return curranttrail::runEntryProgram(argc, argv);
}
