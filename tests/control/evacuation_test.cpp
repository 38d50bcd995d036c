#include "control/events.h"
#include "control/serialization.h"
#include "control/state_machine.h"
#include "tests/control/evacuation_workload.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <string>

using namespace curranttrail;
using namespace curranttrail::control;
using namespace curranttrail::tests;

namespace {

constexpr Micros kSecond { 1'000'000 };

Snapshot snapshotOf(const std::set<DataCentreName>& evacuated)
{
    Snapshot snapshot { 9, 3, {} };
    snapshot.state.document = { 7, "content" };
    snapshot.state.voters = { "r0", "r1" };
    snapshot.state.evacuatedDataCentres = evacuated;
    return snapshot;
}

ControlSimulation::Options worldOptions(std::uint64_t seed)
{
    ControlSimulation::Options options;
    options.seed = seed;
    // Orders are soon found in snapshots only.
    options.compactionEntries = 8;
    return options;
}

// Resends an order until a leader acknowledges it. Returns whether one did within the time.
bool order(ControlSimulation& simulation, const SetEvacuation& command, Micros limit = 20 * kSecond)
{
    bool isAccepted = false;
    const TimePoint end = simulation.now() + limit;
    while (!isAccepted && simulation.now() < end && simulation.violation().empty()) {
        if (const std::optional<std::size_t> leader = simulation.leader())
            simulation.submit(*leader, command, [&isAccepted](const CommandResult& result) { isAccepted = isAccepted || result.status == CommandStatus::Accepted; });
        simulation.runFor(Micros { 100'000 });
    }
    return isAccepted;
}

bool isEvacuated(const ControlSimulation& simulation, std::size_t replica)
{
    return simulation.state(replica).evacuatedDataCentres.contains("dc-a");
}

} // namespace

BOOST_AUTO_TEST_SUITE(Evacuations)

// Guards against an order that is refused when it is sent again, and against a name that cannot be one.
BOOST_AUTO_TEST_CASE(OrdersMayBeRepeated)
{
    StateMachine machine("nile", {});
    for (const bool isEvacuated : { true, true, false, false, true }) {
        BOOST_TEST((machine.apply(SetEvacuation { "dc-a", isEvacuated }).status == CommandStatus::Accepted));
        BOOST_TEST(machine.state().evacuatedDataCentres.contains("dc-a") == isEvacuated);
    }
    for (const char* name : { "cairo-a", "EU.west_1", "nobody-knows-it" })
        BOOST_TEST(invalidReason(SetEvacuation { name, true }, "nile").empty());
    for (const std::string& name : { std::string {}, std::string { "a/b" }, std::string { "a b" }, std::string { "%41" }, std::string { "a\n" }, std::string(kMaximumNameLength + 1, 'a') })
        BOOST_TEST(!invalidReason(SetEvacuation { name, true }, "nile").empty());
}

// Guards against orders that grow the state without limit, and against a limit that hits orders in force or withdrawals.
BOOST_AUTO_TEST_CASE(TheNumberOfOrdersIsBounded)
{
    StateMachine machine("nile", {});
    for (std::size_t n = 0; n < kMaximumEvacuations; ++n)
        BOOST_TEST((machine.apply(SetEvacuation { "dc-" + std::to_string(n), true }).status == CommandStatus::Accepted));
    BOOST_TEST((machine.apply(SetEvacuation { "one-more", true }).status == CommandStatus::Invalid));
    BOOST_TEST((machine.apply(SetEvacuation { "dc-0", true }).status == CommandStatus::Accepted));
    BOOST_TEST((machine.apply(SetEvacuation { "dc-0", false }).status == CommandStatus::Accepted));
    BOOST_TEST((machine.apply(SetEvacuation { "one-more", true }).status == CommandStatus::Accepted));
    BOOST_TEST(machine.state().evacuatedDataCentres.size() == kMaximumEvacuations);
}

// Guards against stored state that this build or an earlier one cannot read although no data centre is evacuated, and against orders that are
// missing from a snapshot.
BOOST_AUTO_TEST_CASE(StateWithoutEvacuationsIsStoredAsBefore)
{
    const std::string plain = encodeSnapshotRecord({ 5, {}, snapshotOf({}) });
    const std::string extended = encodeSnapshotRecord({ 5, {}, snapshotOf({ "dc-a", "dc-b" }) });
    BOOST_TEST(extended.starts_with(plain));
    BOOST_TEST((extended.size() > plain.size()));
    BOOST_TEST(decodeSnapshotRecord(plain).value().snapshot.state.evacuatedDataCentres.empty());
    const std::optional<SnapshotRecord> decoded = decodeSnapshotRecord(extended);
    BOOST_REQUIRE(decoded);
    BOOST_TEST((decoded->snapshot.state.evacuatedDataCentres == std::set<DataCentreName> { "dc-a", "dc-b" }));
    BOOST_TEST(decoded->snapshot.state.document.content == "content");
    for (std::size_t size = plain.size() + 1; size < extended.size(); ++size)
        BOOST_TEST(!decodeSnapshotRecord(extended.substr(0, size)));
    BOOST_TEST(!decodeSnapshotRecord(extended + 'x'));

    const std::string install = encodePeerMessage(InstallSnapshot { 4, 5, snapshotOf({ "dc-a" }) });
    BOOST_TEST(install.starts_with(encodePeerMessage(InstallSnapshot { 4, 5, snapshotOf({}) })));
    const std::optional<PeerMessage> message = decodePeerMessage(install);
    BOOST_REQUIRE(message);
    BOOST_TEST(std::get<InstallSnapshot>(*message).snapshot.state.evacuatedDataCentres.contains("dc-a"));
    BOOST_TEST(!decodePeerMessage(install + 'x'));
    // Only a message with a snapshot may be followed by evacuations.
    const std::string evacuations = install.substr(encodePeerMessage(InstallSnapshot { 4, 5, snapshotOf({}) }).size());
    BOOST_TEST(!decodePeerMessage(encodePeerMessage(VoteReply { 4, false, true, 99 }) + evacuations));

    const std::optional<Command> command = decodeCommand(encodeCommand(SetEvacuation { "dc-a", true }));
    BOOST_REQUIRE(command);
    BOOST_TEST((std::get<SetEvacuation>(*command).dataCentre == "dc-a" && std::get<SetEvacuation>(*command).isEvacuated));
}

// The leader ends between an order and its acknowledgement. Guards against an order that is acknowledged after it was sent again and is not in
// force at the next leader.
BOOST_DATA_TEST_CASE(AnOrderSurvivesTheLossOfItsLeader, boost::unit_test::data::xrange(1, 41), seed)
{
    ControlSimulation simulation(worldOptions(static_cast<std::uint64_t>(seed)));
    BOOST_REQUIRE(simulation.runUntil([&] { return simulation.leader().has_value(); }, 20 * kSecond));
    const std::size_t first = *simulation.leader();
    bool isAcknowledged = false;
    simulation.submit(first, SetEvacuation { "dc-a", true }, [&](const CommandResult& result) { isAcknowledged = result.status == CommandStatus::Accepted; });
    simulation.runFor(Micros { static_cast<Micros::rep>(simulation.randomBelow(12'000)) });
    simulation.crash(first, seed % 2 == 0);
    if (!isAcknowledged)
        BOOST_TEST_REQUIRE(order(simulation, { "dc-a", true }), simulation.violation());
    BOOST_REQUIRE(simulation.runUntil([&] { return simulation.leader().has_value(); }, 20 * kSecond));
    BOOST_TEST(isEvacuated(simulation, *simulation.leader()));
    simulation.restart(first);
    BOOST_TEST(simulation.runUntil([&] { return isEvacuated(simulation, first); }, 20 * kSecond));
    BOOST_TEST(simulation.violation().empty(), simulation.violation());
}

// All replicas lose power at one moment, one its disk as well, while several operators give orders. Guards against acknowledged orders that
// were not synced, that a snapshot lacks, or that the rebuilt replica does not get.
BOOST_DATA_TEST_CASE(OrdersSurviveTheLossOfPower, boost::unit_test::data::xrange(1, 61), seed)
{
    ControlSimulation simulation(worldOptions(static_cast<std::uint64_t>(seed)));
    EvacuationWorkload workload(simulation, static_cast<std::uint64_t>(seed));
    BOOST_REQUIRE(simulation.runUntil([&] { return simulation.leader().has_value(); }, 20 * kSecond));
    for (int round = 0; round < 3; ++round) {
        workload.start(Micros { 60'000 });
        const std::size_t acknowledged = workload.acknowledged();
        BOOST_TEST_REQUIRE(simulation.runUntil([&] { return workload.acknowledged() >= acknowledged + 12; }, 20 * kSecond));
        simulation.runFor(Micros { static_cast<Micros::rep>(simulation.randomBelow(50'000)) });
        // Orders that are not acknowledged yet are sent again, no new ones are given.
        workload.stop();
        for (std::size_t n = 0; n < simulation.size(); ++n)
            simulation.crash(n, true);
        const std::size_t wiped = simulation.randomBelow(simulation.size() + 1);
        if (wiped < simulation.size())
            simulation.disk(wiped).erase();
        for (std::size_t n = 0; n < simulation.size(); ++n)
            simulation.restart(n);
        BOOST_TEST_REQUIRE(simulation.runUntil([&] { return simulation.leader() && workload.settled(); }, 20 * kSecond));
        simulation.runFor(2 * kSecond);
        for (std::size_t n = 0; n < simulation.size(); ++n) {
            BOOST_TEST(!simulation.status(n).repairing);
            workload.check(n);
        }
        BOOST_TEST_REQUIRE(simulation.violation().empty(), simulation.violation());
    }
}

// A replica that lost its disk gets the orders with the leader's snapshot. Guards against one that then reports none.
BOOST_AUTO_TEST_CASE(ARebuiltReplicaGetsTheOrdersWithTheSnapshot)
{
    ControlSimulation simulation(worldOptions(3));
    BOOST_REQUIRE(order(simulation, { "dc-a", true }));
    for (std::uint64_t version = 1; version <= 40; ++version) {
        simulation.submit(*simulation.leader(), SetDocument { version, "content" }, [](const CommandResult&) {});
        simulation.runFor(Micros { 50'000 });
    }
    const std::size_t rebuilt = (*simulation.leader() + 1) % simulation.size();
    simulation.crash(rebuilt, true);
    simulation.disk(rebuilt).erase();
    simulation.restart(rebuilt);
    BOOST_TEST(simulation.runUntil([&] { return isEvacuated(simulation, rebuilt); }, 20 * kSecond));
    BOOST_TEST(simulation.sawEvent(kSnapshotInstalled));
    BOOST_TEST(simulation.sawEvent(kEvacuationsAccepted));
    BOOST_TEST(simulation.violation().empty(), simulation.violation());
}

BOOST_AUTO_TEST_SUITE_END()
