#include "main/configuration_selector.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using transport::ConfigurationAnswer;

namespace {

constexpr TimePoint kStart { Micros { 1'000'000 } };

ConfigurationAnswer answer(std::uint64_t version)
{
    ConfigurationAnswer answer;
    answer.versions["nile"] = { version };
    answer.classes["nile"] = { "nile", { version }, {} };
    return answer;
}

ConfigurationAnswer fromControl(std::uint64_t version, bool leading)
{
    ConfigurationAnswer result = answer(version);
    result.controlOwner = "nile";
    result.leaderWithLease = leading;
    return result;
}

ConfigurationAnswer fromPeer(std::uint64_t version, bool serving = true, const std::string& dataCentre = "cairo-1")
{
    ConfigurationAnswer result = answer(version);
    result.servingEntry = serving;
    result.dataCentre = dataCentre;
    return result;
}

struct Fixture {
    ConfigurationSelector selector { "cairo-1", Micros { 300 } };
    std::uint64_t version() const { return selector.hasAccepted("nile") ? selector.versions().at("nile").value : 0; }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationSelectors)

// Guards against a start with a configuration that may be outdated.
BOOST_FIXTURE_TEST_CASE(TheFirstConfigurationComesFromALeaderOrAServingPeer, Fixture)
{
    BOOST_TEST(!selector.handleAnswer(fromControl(7, false), kStart));
    BOOST_TEST(!selector.handleAnswer(fromPeer(7, false), kStart));
    BOOST_TEST(!selector.handleAnswer(fromPeer(7, true, "cairo-2"), kStart));
    BOOST_TEST(!selector.tick(kStart + Micros { 1'000 }));
    BOOST_TEST(!selector.hasAccepted("nile"));
    BOOST_TEST((selector.handleAnswer(fromControl(7, true), kStart) != nullptr));
    BOOST_TEST(version() == 7U);
}

// Guards against accepting a leader's answer for another owner as that owner's newest configuration.
BOOST_FIXTURE_TEST_CASE(ALeaderIsTrustedForItsOwnOwnerOnly, Fixture)
{
    ConfigurationAnswer other = fromControl(7, true);
    other.controlOwner = "stone";
    BOOST_TEST(!selector.handleAnswer(other, kStart));
    BOOST_TEST(!selector.hasAccepted("nile"));
}

// Guards against starting with the answer of the first peer when another one has a higher version.
BOOST_FIXTURE_TEST_CASE(TheHighestVersionOfThePeersIsTaken, Fixture)
{
    BOOST_TEST(!selector.handleAnswer(fromPeer(4), kStart));
    BOOST_TEST(!selector.handleAnswer(fromPeer(6), kStart + Micros { 100 }));
    BOOST_TEST(!selector.handleAnswer(fromPeer(5), kStart + Micros { 200 }));
    BOOST_TEST((selector.nextWakeup() == kStart + Micros { 300 }));
    BOOST_TEST((selector.tick(kStart + Micros { 300 }) != nullptr));
    BOOST_TEST(version() == 6U);
}

// Guards against replacing a configuration by an older one.
BOOST_FIXTURE_TEST_CASE(ALowerVersionIsNeverTaken, Fixture)
{
    selector.handleAnswer(fromPeer(3), kStart);
    selector.handleAnswer(fromControl(9, true), kStart);
    BOOST_TEST(!selector.tick(kStart + Micros { 300 }));
    BOOST_TEST(!selector.handleAnswer(fromControl(8, true), kStart));
    BOOST_TEST(!selector.handleAnswer(fromPeer(9), kStart));
    BOOST_TEST(version() == 9U);
    // After the first configuration a higher version is accepted from a follower as well.
    BOOST_TEST((selector.handleAnswer(fromControl(10, false), kStart) != nullptr));
    BOOST_TEST(version() == 10U);
}

// Guards against an instance that never becomes ready because an owner has no classes.
BOOST_FIXTURE_TEST_CASE(AnEmptyConfigurationFromALeaderIsAccepted, Fixture)
{
    ConfigurationAnswer empty = fromControl(0, true);
    empty.classes.clear();
    selector.handleAnswer(empty, kStart);
    BOOST_TEST(selector.hasAccepted("nile"));
}

BOOST_AUTO_TEST_SUITE_END()
