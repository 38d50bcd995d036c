#include "main/operator_program.h"

#include <iostream>

int main(int argc, char** argv)
{
    return curranttrail::runOperatorProgram(argc, argv, { std::cout, std::cerr });
}
