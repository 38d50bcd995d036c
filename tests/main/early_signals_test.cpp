#include "main/early_signals.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <sys/wait.h>
#include <unistd.h>

using namespace curranttrail;

BOOST_AUTO_TEST_SUITE(EarlySignals)

// Guards against a reload request that terminates a process during its start-up.
BOOST_AUTO_TEST_CASE(ARequestToReloadDoesNotEndAStartingProcess)
{
    const pid_t child = ::fork();
    BOOST_TEST_REQUIRE(child >= 0);
    if (child == 0) {
        std::signal(SIGHUP, SIG_DFL);
        ignoreEarlySignals();
        ::raise(SIGHUP);
        ::raise(SIGPIPE);
        ::_exit(7);
    }
    int status = 0;
    BOOST_TEST(::waitpid(child, &status, 0) == child);
    BOOST_TEST((WIFEXITED(status) && WEXITSTATUS(status) == 7));
}

BOOST_AUTO_TEST_SUITE_END()
