#pragma once

namespace curranttrail {

// Runs the program curranttrail-entry and returns its exit code.
int runEntryProgram(int argc, const char* const* argv);

} // namespace curranttrail
