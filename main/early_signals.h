#pragma once

namespace curranttrail {

// Ignores SIGHUP until a handler for it is installed, and SIGPIPE permanently. Must be called first in main(): a reload request
// during start-up must not end the process, and the settings are read after it anyway.
void ignoreEarlySignals();

} // namespace curranttrail
