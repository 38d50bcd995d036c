#pragma once

namespace curranttrail {

// Runs the program curranttrail-control: reads arguments and settings, runs until SIGTERM or SIGINT and stops gracefully.
// Exit codes: 0 stopped by a signal, 1 start failed, 2 invalid arguments or settings.
int runControlProgram(int argc, const char* const* argv);

} // namespace curranttrail
