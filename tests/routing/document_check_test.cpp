#include "routing/document_check.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace curranttrail;
using namespace curranttrail::routing;

namespace {

RouteDocument soundDocument()
{
    RouteDocument document;
    document.version = 3;
    document.collections["a"] = { "a", 10 };
    document.collections["b"] = { "b", 10 };
    document.routes.push_back({ "r1", "host", "/x/", true, Micros { 1'000'000 }, Micros { 500'000 }, 0, 1, SingleTarget { "a" } });
    document.routes.push_back({ "r2", "host", "/y/", true, Micros { 1'000'000 }, Micros { 500'000 }, 0, 1, ScatterTarget { { "a", "b" }, 0.5, 10 } });
    document.accounts = { { "counter", { KeyDigest("secret-1") }, 1, 10, 5 } };
    return document;
}

std::size_t count(const std::vector<Finding>& findings, FindingKind kind, std::string_view text)
{
    return static_cast<std::size_t>(std::count_if(findings.begin(), findings.end(), [&](const Finding& finding) { return finding.kind == kind && finding.text.find(text) != std::string::npos; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(DocumentChecks)

// Guards against a check that shows the first error only, and against findings in a sound document.
BOOST_AUTO_TEST_CASE(EachErrorIsShown)
{
    BOOST_TEST(checkDocument(soundDocument()).empty());
    RouteDocument document = soundDocument();
    document.routes[0].target = SingleTarget { "missing" };
    document.routes[1].timeout = Micros { 0 };
    const std::vector<Finding> findings = checkDocument(document);
    BOOST_TEST(count(findings, FindingKind::Error, "missing") == 1u);
    BOOST_TEST(count(findings, FindingKind::Error, "timeout") == 1u);
}

BOOST_AUTO_TEST_CASE(EntriesThatNeverMatchAreShown)
{
    RouteDocument document = soundDocument();
    document.routes[0].prefix = "/x";
    document.routes[1].host = "host:80";
    document.routes[1].target = SplitTarget { { { "a", 0 }, { "b", 1 } } };
    document.collections["c"] = { "c", 10 };
    document.accounts->push_back({ "nobody" });
    const std::vector<Finding> findings = checkDocument(document);
    for (const char* text : { "\"r1\"", "its host", "its weight is 0", "the collection \"c\"", "\"nobody\" has no key" })
        BOOST_TEST(count(findings, FindingKind::Unreachable, text) == 1u, text);
    BOOST_TEST(findings.size() == 5u);
}

BOOST_AUTO_TEST_CASE(LimitsThatContradictEachOtherAreShown)
{
    RouteDocument document = soundDocument();
    document.routes[0].latencyObjective = Micros { 2'000'000 };
    document.routes[1].target = ScatterTarget { { "a", "b" }, 0.5, 0 };
    document.collections["b"].connectionLimit = 0;
    document.accounts->front().requestsPerSecond = 0;
    document.limits.headerTimeout = Micros { 20'000'000 };
    const std::vector<Finding> findings = checkDocument(document);
    for (const char* text : { "latency objective", "0 records", "no connections", "burst without a rate", "idle timeout" })
        BOOST_TEST(count(findings, FindingKind::Contradiction, text) == 1u, text);
    BOOST_TEST(findings.size() == 5u);
}

// Guards against a difference that is left out, a withdrawn key that is shown, and a version that control would ignore.
BOOST_AUTO_TEST_CASE(DifferencesFromTheVersionInForceAreShown)
{
    RouteDocument proposed = soundDocument();
    proposed.version = 4;
    BOOST_TEST(compareDocuments(soundDocument(), proposed).empty());
    proposed.routes[0].timeout = Micros { 900'000 };
    proposed.routes[1].prefix = "/z/";
    proposed.collections["a"].connectionLimit = 20;
    proposed.accounts->front().keys = { KeyDigest("secret-2"), KeyDigest("secret-3") };
    proposed.accounts->front().requestsPerSecond = 4;
    proposed.limits.maximumBodyBytes = 1;
    const std::vector<Finding> findings = compareDocuments(soundDocument(), proposed);
    for (const char* text : { "timeout changes from 1000 ms to 900 ms", "host/y/ is removed", "host/z/ is added", "connections changes from 10 to 20", "2 keys are added", "1 keys are withdrawn", "requests a second changes from 10 to 4", "body bytes" })
        BOOST_TEST(count(findings, FindingKind::Difference, text) == 1u, text);
    BOOST_TEST(findings.size() == 8u);
    BOOST_TEST(count(compareDocuments(proposed, soundDocument()), FindingKind::Contradiction, "not higher") == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
