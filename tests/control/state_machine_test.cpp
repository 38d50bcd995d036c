#include "control/state_machine.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::control;

namespace {

SetClass changeOf(std::string id, std::uint64_t expected, std::string name = "orders")
{
    SetClass change;
    change.changeId = std::move(id);
    change.expectedVersion = ConfigurationVersion { expected };
    change.target.name = std::move(name);
    change.target.owner = "nile";
    change.target.collection = "orders";
    return change;
}

constexpr UnixMillis kNow = 1'800'000'000'000;

ClaimRequest claimOf(std::string id, std::string holder, UnixMillis issuedAt = kNow, UnixMillis proposedAt = kNow)
{
    return { std::move(id), std::move(holder), issuedAt, proposedAt };
}

} // namespace

BOOST_AUTO_TEST_SUITE(StateMachines)

// Guards against two operators both winning with the same expected version, and against versions that repeat.
BOOST_AUTO_TEST_CASE(OneChangeWinsPerExpectedVersion)
{
    StateMachine machine("nile", {});
    const CommandResult first = machine.apply(changeOf("a", 0));
    const CommandResult second = machine.apply(changeOf("b", 0));
    BOOST_TEST((first.status == CommandStatus::Accepted && first.version.value == 1));
    BOOST_TEST((second.status == CommandStatus::VersionConflict && second.version.value == 1));
    BOOST_TEST((machine.apply(changeOf("c", 0, "catalogue")).version.value == 2));
    BOOST_TEST((machine.apply(changeOf("d", 1)).version.value == 3));
    BOOST_TEST((machine.apply(changeOf("e", 2)).status == CommandStatus::VersionConflict));
}

// Guards against a resent change being applied twice, and against an id reused for another change.
BOOST_AUTO_TEST_CASE(AResentChangeGetsItsFirstResult)
{
    StateMachine machine("nile", {});
    machine.apply(changeOf("a", 0));
    machine.apply(changeOf("b", 0));
    machine.apply(changeOf("c", 1));
    BOOST_TEST((machine.apply(changeOf("a", 0)).version.value == 1));
    BOOST_TEST((machine.apply(changeOf("b", 0)).status == CommandStatus::VersionConflict));
    BOOST_TEST((machine.apply(changeOf("a", 2)).status == CommandStatus::Invalid));
    SetClass other = changeOf("a", 0);
    other.target.percentile = 0.95;
    BOOST_TEST((machine.apply(other).status == CommandStatus::Invalid));
    BOOST_TEST(machine.state().configuration.version.value == 2u);

    StateMachine restored;
    restored.restore(machine.state());
    BOOST_TEST((restored.apply(changeOf("a", 0)).version.value == 1));
}

// Guards against a table of change ids that grows without limit or forgets too early.
BOOST_AUTO_TEST_CASE(TheLastChangeIdsAreKept)
{
    StateMachine machine("nile", {});
    for (std::size_t n = 0; n <= kMaximumChangeRecords; ++n)
        machine.apply(changeOf("id-" + std::to_string(n), n));
    BOOST_TEST(machine.state().changes.size() == kMaximumChangeRecords);
    BOOST_TEST((machine.earlierResult(changeOf("id-1", 1))->version.value == 2));
    BOOST_TEST(!machine.earlierResult(changeOf("id-0", 0)).has_value());
}

// Guards against targets that no class may have.
BOOST_AUTO_TEST_CASE(InvalidCommandsAreNamed)
{
    const auto isInvalid = [](const std::function<void(SetClass&)>& change) {
        SetClass command = changeOf("a", 0);
        change(command);
        return !invalidReason(command, "nile").empty();
    };
    BOOST_TEST(!isInvalid([](SetClass&) {}));
    BOOST_TEST(isInvalid([](SetClass& command) { command.changeId.clear(); }));
    BOOST_TEST(isInvalid([](SetClass& command) { command.target.owner = "stone"; }));
    BOOST_TEST(isInvalid([](SetClass& command) { command.target.name = "Orders"; }));
    BOOST_TEST(isInvalid([](SetClass& command) { command.target.name = std::string(65, 'a'); }));
    BOOST_TEST(isInvalid([](SetClass& command) { command.target.collection = ""; }));
    BOOST_TEST(isInvalid([](SetClass& command) { command.target.percentile = 1; }));
    BOOST_TEST(isInvalid([](SetClass& command) { command.target.percentile = std::numeric_limits<double>::quiet_NaN(); }));
    BOOST_TEST(isInvalid([](SetClass& command) { command.target.latency = Micros { 999 }; }));
    BOOST_TEST(isInvalid([](SetClass& command) { command.target.latency = Micros { 60'000'001 }; }));
    BOOST_TEST(isInvalid([](SetClass& command) { command.target.minimumCoverage = 1.1; }));
    BOOST_TEST(!invalidReason(ChangeMembers { {}, {} }, "nile").empty());
    BOOST_TEST(!invalidReason(ChangeMembers { { "r0" }, { "r0" } }, "nile").empty());
}

// Guards against two holders of one request id.
BOOST_AUTO_TEST_CASE(AClaimHasOneHolder)
{
    StateMachine machine("nile", {});
    BOOST_TEST((machine.apply(claimOf("q", "h1")).status == CommandStatus::ClaimGranted));
    BOOST_TEST((machine.apply(claimOf("q", "h1")).status == CommandStatus::ClaimGranted));
    BOOST_TEST((machine.apply(claimOf("q", "h2")).status == CommandStatus::ClaimDuplicate));
    BOOST_TEST((machine.apply(SettleClaimRequest { "q", "h2", Verdict::NotRun }).status == CommandStatus::Invalid));
    machine.apply(SettleClaimRequest { "q", "h1", Verdict::MayHaveRun });
    const CommandResult duplicate = machine.apply(claimOf("q", "h1"));
    BOOST_TEST((duplicate.status == CommandStatus::ClaimDuplicate && duplicate.earlier == Verdict::MayHaveRun));
    BOOST_TEST((machine.apply(SettleClaimRequest { "q", "h1", Verdict::NotRun }).status == CommandStatus::Invalid));
}

// Guards against a late repetition of a settlement that frees an id which the same holder was granted again.
BOOST_AUTO_TEST_CASE(ARepeatedSettlementFreesNothing)
{
    StateMachine machine("nile", {});
    const SettleClaimRequest notRun { "q", "h1", Verdict::NotRun };
    machine.apply(claimOf("q", "h1"));
    machine.apply(notRun);
    BOOST_TEST((machine.apply(claimOf("q", "h1")).status == CommandStatus::ClaimGranted));
    machine.apply(notRun);
    const CommandResult duplicate = machine.apply(claimOf("q", "h2"));
    BOOST_TEST((duplicate.status == CommandStatus::ClaimDuplicate && duplicate.earlier == Verdict::MayHaveRun));
}

// Guards against an id that is dropped while a later holder of it still runs.
BOOST_AUTO_TEST_CASE(AClaimGrantedAgainIsKeptForAWholeWindow)
{
    StateMachine machine("nile", {});
    constexpr UnixMillis kMinute = 60'000;
    machine.apply(claimOf("q", "h1"));
    machine.apply(SettleClaimRequest { "q", "h1", Verdict::NotRun });
    BOOST_TEST((machine.apply(claimOf("q", "h2", kNow, kNow + 5 * kMinute)).status == CommandStatus::ClaimGranted));
    const UnixMillis later = kNow + 11 * kMinute;
    BOOST_TEST((machine.apply(claimOf("q", "h3", later, later)).status == CommandStatus::ClaimDuplicate));
}

// Guards against claims kept for ever, dropped while their id is still valid, or decided by a local clock.
BOOST_AUTO_TEST_CASE(ClaimsExpireByProposedTime)
{
    StateMachine machine("nile", {});
    BOOST_TEST((machine.apply(claimOf("old", "h", kNow - kClaimRetentionMillis - 1)).status == CommandStatus::ClaimExpired));
    BOOST_TEST((machine.apply(claimOf("future", "h", kNow + kMaximumClaimFutureMillis + 1)).status == CommandStatus::ClaimExpired));
    machine.apply(claimOf("q", "h1", kNow - 1'000));
    machine.apply(claimOf("other", "h", kNow, kNow + kClaimRetentionMillis));
    BOOST_TEST((machine.apply(claimOf("q", "h2", kNow - 1'000, kNow + kClaimRetentionMillis)).status == CommandStatus::ClaimDuplicate));
    machine.apply(claimOf("later", "h", kNow + kClaimRetentionMillis, kNow + kClaimRetentionMillis + 1));
    BOOST_TEST(!machine.state().claims.contains("q"));
    BOOST_TEST((machine.apply(claimOf("q", "h2", kNow - 1'000, kNow)).status == CommandStatus::ClaimExpired));
}

BOOST_AUTO_TEST_SUITE_END()
