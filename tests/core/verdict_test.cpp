#include "core/verdict.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace curranttrail;

BOOST_AUTO_TEST_SUITE(Verdicts)

// Guards against "not run" if bytes of any attempt may have reached a backend server.
BOOST_AUTO_TEST_CASE(AnAttemptThatMayHaveBegunExcludesNotRun)
{
    for (AttemptProgress progress : { AttemptProgress::BytesSent, AttemptProgress::Unknown }) {
        const std::array<AttemptProgress, 3> attempts { AttemptProgress::NotSent, progress, AttemptProgress::RefusedBeforeWork };
        BOOST_TEST((verdictOf(attempts) == Verdict::MayHaveRun));
    }
}

// Guards against "may have run" if every attempt is known not to have begun.
BOOST_AUTO_TEST_CASE(AttemptsThatNeverBeganAreNotRun)
{
    const std::array<AttemptProgress, 2> attempts { AttemptProgress::NotSent, AttemptProgress::RefusedBeforeWork };
    BOOST_TEST((verdictOf(attempts) == Verdict::NotRun));
    BOOST_TEST((verdictOf({}) == Verdict::NotRun));
}

// Guards against ignoring a reply among attempts whose outcome is unknown.
BOOST_AUTO_TEST_CASE(AReplyMeansTheRequestRan)
{
    const std::array<AttemptProgress, 2> attempts { AttemptProgress::Unknown, AttemptProgress::Replied };
    BOOST_TEST((verdictOf(attempts) == Verdict::Ran));
}

BOOST_AUTO_TEST_SUITE_END()
