#include "policy/suspension_detector.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::policy;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(SuspensionDetectors)

// Guards against a freeze, an interrupted reading or an earlier suspension of the machine that counts as one of the process.
BOOST_AUTO_TEST_CASE(OnlyTimeInWhichOneClockStoppedCounts)
{
    SuspensionDetector detector;
    const TimePoint start { seconds { 50 } };
    const Micros before = seconds { 7 };
    const auto look = [&](Micros steady, Micros suspended, Micros reading = Micros { 1 }) { return detector.observe({ start + steady, start + steady + before + suspended, start + steady + reading }); };
    BOOST_TEST((look(seconds { 0 }, Micros { 0 }) == Micros { 0 }));
    // The process was frozen for 4 s, then interrupted between the readings.
    BOOST_TEST((look(seconds { 4 }, Micros { 0 }) == Micros { 0 }));
    BOOST_TEST(!look(seconds { 5 }, seconds { 3 }, seconds { 2 }).has_value());
    BOOST_TEST((look(seconds { 7 }, seconds { 3 }) == seconds { 3 }));
    BOOST_TEST((look(seconds { 8 }, seconds { 3 }) == Micros { 0 }));
    BOOST_TEST((detector.unsuspended(start + seconds { 8 } + before + seconds { 3 }) - start - seconds { 11 } < Micros { 10 }));
}

BOOST_AUTO_TEST_SUITE_END()
