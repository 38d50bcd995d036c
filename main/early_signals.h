#pragma once

namespace curranttrail {

// Ignores SIGHUP until a handler for it is installed, and SIGPIPE for good. To be called first in main(): a request to reload
// that comes while a process starts must not end it, and the settings are read after it anyway.
void ignoreEarlySignals();

} // namespace curranttrail
