#pragma once

namespace curranttrail {

// Runs the program curranttrail-coordinator and returns its exit code.
int runCoordinatorProgram(int argc, const char* const* argv);

} // namespace curranttrail
