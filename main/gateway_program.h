#pragma once

namespace curranttrail {

// Runs the program curranttrail-gateway and returns its exit code.
int runGatewayProgram(int argc, const char* const* argv);

} // namespace curranttrail
