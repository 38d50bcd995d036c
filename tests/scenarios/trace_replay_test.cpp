#include "query/entry_reducer.h"
#include "query/trace.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace curranttrail;
using namespace curranttrail::query;

namespace {

// Returns the events of a short run of one entry instance with one server, one shard and one query.
std::vector<Event> shortRun()
{
    ClassTable table;
    OwnerConfiguration& configuration = table["nile"];
    configuration.owner = "nile";
    configuration.version = { 1 };
    ClassTarget target;
    target.name = "design";
    target.owner = "nile";
    target.collection = "catalogue";
    target.version = { 1 };
    configuration.classes["design"] = target;

    ListedServer server;
    server.server = { 1 };
    server.name = "catalogue-0";
    server.dataCentre = "cairo-1";
    server.owner = "nile";
    server.collection = "catalogue";
    server.slots = 2;
    server.connectionLimit = 25;
    ServerReport report;
    report.server = { 1 };
    report.held.push_back({ { 7 }, { "s0", kWholeKeySpace } });
    QueryArrived arrival;
    arrival.query = { 1 };
    arrival.caller = "nile";
    arrival.className = "design";
    arrival.timeout = Micros(500'000);
    arrival.body = "{\"text\":\"two\\nlines\"}";
    return { EntryInstancesChanged { "entry-1", { "entry-1" } }, ConfigurationChanged { std::make_shared<const ClassTable>(table) },
        ServerListChanged { { server } }, report, ConnectionOpened { { 1 } }, arrival };
}

EntryOptions optionsOfTraces()
{
    EntryOptions options;
    options.name = "entry-1";
    options.owner = "nile";
    options.dataCentre = "cairo-1";
    options.seed = 42;
    return options;
}

std::vector<TraceStep> run(const std::vector<TraceStep>& events)
{
    EntryReducer reducer(optionsOfTraces());
    std::vector<TraceStep> steps;
    for (const TraceStep& step : events) {
        TraceStep done { step.at, step.event, {} };
        for (const Effect& effect : reducer.handle(step.event, TimePoint(step.at)))
            done.effects.push_back(describeEffect(effect));
        steps.push_back(std::move(done));
    }
    return steps;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TraceReplay)

// Guards against a trace that cannot be replayed: a written trace must read back unchanged and produce the same effects.
BOOST_AUTO_TEST_CASE(WrittenTraceReplaysWithTheSameEffects)
{
    std::vector<TraceStep> events;
    for (const Event& event : shortRun())
        events.push_back({ Micros(static_cast<std::int64_t>(events.size()) * 1'000), event, {} });
    const std::vector<TraceStep> recorded = run(events);
    std::stringstream file;
    for (const TraceStep& step : recorded)
        writeTraceStep(file, step);
    const std::vector<TraceStep> read = readTrace(file);
    BOOST_REQUIRE_EQUAL(read.size(), recorded.size());
    const std::vector<TraceStep> replayed = run(read);
    std::size_t sent = 0;
    for (std::size_t it = 0; it < recorded.size(); ++it) {
        BOOST_TEST(read[it].effects == recorded[it].effects, boost::test_tools::per_element());
        BOOST_TEST(replayed[it].effects == recorded[it].effects, boost::test_tools::per_element());
        for (const std::string& effect : recorded[it].effects)
            sent += effect.starts_with("send_subquery") ? 1 : 0;
    }
    BOOST_TEST(sent == 1U);
}

// Guards against a damaged trace that is read as a shorter one.
BOOST_AUTO_TEST_CASE(MalformedLineIsRefusedWithItsNumber)
{
    std::stringstream file("{\"at_us\": 0}\n");
    BOOST_CHECK_EXCEPTION(readTrace(file), std::runtime_error, [](const std::runtime_error& error) {
        return std::string(error.what()).find("trace line 1") != std::string::npos;
    });
}

BOOST_AUTO_TEST_SUITE_END()
