#include "policy/additional_attempt_budget.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>

using namespace curranttrail;
using namespace curranttrail::policy;

BOOST_AUTO_TEST_SUITE(AdditionalAttemptBudgets)

// Guards against more additional attempts in any window than the limits allow for all instances together, at varying rates and
// with an uneven distribution of the requests over the instances.
BOOST_AUTO_TEST_CASE(NoWindowExceedsTheSharedLimits)
{
    const AdditionalAttemptLimits limits { 0.2, 52, Micros { 10'000'000 } };
    for (std::uint32_t instances : { 1U, 6U, 30U }) {
        std::mt19937 random(instances);
        TimePoint now { Micros { 1'000'000 } };
        std::vector<AdditionalAttemptBudget> budgets(instances, AdditionalAttemptBudget(limits, instances, now));
        std::deque<std::pair<TimePoint, bool>> events;
        for (int n = 0; n < 20'000; ++n) {
            now += Micros { static_cast<std::int64_t>(random() % (n % 4'000 < 2'000 ? 4'000 : 60'000)) };
            // Half of the requests go to one instance.
            AdditionalAttemptBudget& budget = budgets[random() % 2 == 0 ? 0 : random() % instances];
            budget.onFirstAttempt(now);
            events.emplace_back(now, false);
            if (budget.tryAcquire(now))
                events.emplace_back(now, true);
            while (now - events.front().first > limits.window)
                events.pop_front();
            double firstAttempts = 0;
            double additionalAttempts = 0;
            for (const auto& [at, isAdditional] : events)
                (isAdditional ? additionalAttempts : firstAttempts) += 1;
            if (n % 50 == 0)
                BOOST_TEST(additionalAttempts <= firstAttempts * limits.ratio + limits.allowance);
        }
    }
}

// Guards against an allowance that is never refilled.
BOOST_AUTO_TEST_CASE(TheAllowanceIsRefilledInEachWindow)
{
    TimePoint now { Micros { 1'000'000 } };
    AdditionalAttemptBudget budget({ 0.2, 50, Micros { 10'000'000 } }, 1, now);
    while (budget.tryAcquire(now)) { }
    now += Micros { 10'000'000 };
    int taken = 0;
    while (budget.tryAcquire(now))
        ++taken;
    BOOST_TEST(taken >= 12);
}

BOOST_AUTO_TEST_SUITE_END()
