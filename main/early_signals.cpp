#include "main/early_signals.h"

#include <csignal>

namespace curranttrail {

void ignoreEarlySignals()
{
    std::signal(SIGHUP, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
}

} // namespace curranttrail
