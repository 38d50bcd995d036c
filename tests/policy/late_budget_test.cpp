#include "policy/late_budget.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail::policy;

BOOST_AUTO_TEST_SUITE(LateBudgets)

// Guards against more late answers than the class's percentile allows.
BOOST_AUTO_TEST_CASE(LateAnswersStayWithinThePercentile)
{
    LateBudget budget;
    int late = 0;
    constexpr int kQueries = 10'000;
    for (int n = 0; n < kQueries; ++n) {
        late += budget.tryAcquire() ? 1 : 0;
        budget.onEnded(0.99);
    }
    BOOST_TEST(late > 0);
    BOOST_TEST(late <= kQueries / 100);
}

// Guards against a percentile without effect: a stricter one must permit fewer late answers.
BOOST_AUTO_TEST_CASE(StricterPercentilePermitsFewerLateAnswers)
{
    LateBudget strict;
    LateBudget lenient;
    int strictLate = 0;
    int lenientLate = 0;
    for (int n = 0; n < 10'000; ++n) {
        strictLate += strict.tryAcquire() ? 1 : 0;
        lenientLate += lenient.tryAcquire() ? 1 : 0;
        strict.onEnded(0.999);
        lenient.onEnded(0.95);
    }
    BOOST_TEST(strictLate * 10 < lenientLate);
}

BOOST_AUTO_TEST_SUITE_END()
