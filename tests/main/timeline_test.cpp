#include "main/timeline.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace curranttrail;

namespace {

std::vector<std::string> namesOf(const std::vector<TimelineEvent>& events)
{
    std::vector<std::string> names;
    names.reserve(events.size());
    for (const TimelineEvent& event : events)
        names.push_back(event.name);
    return names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Timeline)

// Guards against an effect shown before its cause when the clock of the process that saw the effect is behind.
BOOST_AUTO_TEST_CASE(CausesPrecedeEffectsUnderClockSkew)
{
    std::istringstream ahead("2026-12-04T10:00:05.000Z info 3020 change_accepted instance=nile-c1 stamp=64 class=design version=2\n");
    std::istringstream behind("2026-12-04T10:00:01.000Z info 1010 configuration_loaded instance=nile-e1 stamp=65 owner=nile version=2\n");
    std::vector<TimelineEvent> events;
    BOOST_TEST(readLog(behind, events) == 0U);
    BOOST_TEST(readLog(ahead, events) == 0U);
    orderTimeline(events);
    BOOST_TEST(namesOf(events) == (std::vector<std::string> { "change_accepted", "configuration_loaded" }), boost::test_tools::per_element());
}

// Guards against lost or split values, lines of other programs that are read as events, and duplicates of an event.
BOOST_AUTO_TEST_CASE(LogsAndAnswersAreReadAlike)
{
    const std::string line = "2026-12-04T10:00:05.000Z warning 7101 link_down instance=nile-c1 stamp=ff reason=\"a \\\"b\\\" = c\" peer=\"\"\n";
    std::istringstream log("noise\n" + line + "{ 1 2 3\n");
    std::vector<TimelineEvent> events;
    BOOST_TEST(readLog(log, events) == 2U);
    const std::optional<std::uint64_t> next = readEventsAnswer(
        R"({"instance":"nile-c1","first":1,"next":9,"events":[{"sequence":9,"time":"2026-12-04T10:00:05.000Z","stamp":"ff","severity":"warning","number":7101,"name":"link_down","fields":{"reason":"a \"b\" = c","peer":""}}]})",
        events);
    BOOST_TEST(next.value() == 9U);
    BOOST_REQUIRE(events.size() == 2U);
    BOOST_TEST((events[0].fields == events[1].fields));
    BOOST_TEST(events[0].fields[0].second == "a \"b\" = c");
    orderTimeline(events);
    BOOST_TEST(events.size() == 1U);
    BOOST_TEST(!readEventsAnswer("{\"instance\":3}", events).has_value());
}

// Guards against filters that match other requests, and against callers' text that is inserted as markup.
BOOST_AUTO_TEST_CASE(FiltersSelectAndThePageEscapes)
{
    std::istringstream log("2026-12-04T10:00:05.000Z info 2001 query_refused instance=nile-e1 stamp=1 request=<b> class=orders\n"
                           "2026-12-04T10:00:06.000Z info 2001 query_refused instance=nile-e2 stamp=2 request=other class=orders\n");
    std::vector<TimelineEvent> events;
    readLog(log, events);
    BOOST_TEST((TimelineFilter { "<b>", "orders", "", "" }.matches(events[0])));
    BOOST_TEST(!(TimelineFilter { "<b>", "", "", "" }.matches(events[1])));
    BOOST_TEST(!(TimelineFilter { "", "", "x", "" }.matches(events[0])));
    BOOST_TEST((TimelineFilter { "", "", "", "nile-e2" }.matches(events[1])));
    const std::string page = timelineHtml(events);
    BOOST_TEST(page.find("<b>") == std::string::npos);
    BOOST_TEST(page.find("<th>nile-e2</th>") != std::string::npos);
    BOOST_TEST(page.find("src=") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
