#pragma once

#include "main/cli_commands.h"

namespace curranttrail {

// Runs the program curranttrail and returns its exit code: 0 success, 1 refused and not run, 2 invalid arguments or settings,
// 3 a change may have been accepted, 4 no instance can be reached.
int runOperatorProgram(int argc, const char* const* argv, CliOutput output);

} // namespace curranttrail
