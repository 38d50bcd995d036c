#include "control/state_machine.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::control;

namespace {

SetClass makeChange(std::string id, std::uint64_t expected, std::string name = "orders")
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

ClaimRequest makeClaim(std::string id, std::string holder, UnixMillis issuedAt = kNow, UnixMillis proposedAt = kNow)
{
    return { std::move(id), std::move(holder), issuedAt, proposedAt };
}

} // namespace

BOOST_AUTO_TEST_SUITE(StateMachines)

// Guards against two accepted changes with the same expected version, and against versions that are assigned twice.
BOOST_AUTO_TEST_CASE(OneChangeWinsPerExpectedVersion)
{
    StateMachine machine("nile", {});
    const CommandResult first = machine.apply(makeChange("a", 0));
    const CommandResult second = machine.apply(makeChange("b", 0));
    BOOST_TEST((first.status == CommandStatus::Accepted && first.version.value == 1));
    BOOST_TEST((second.status == CommandStatus::VersionConflict && second.version.value == 1));
    BOOST_TEST((machine.apply(makeChange("c", 0, "catalogue")).version.value == 2));
    BOOST_TEST((machine.apply(makeChange("d", 1)).version.value == 3));
    BOOST_TEST((machine.apply(makeChange("e", 2)).status == CommandStatus::VersionConflict));
}

// Guards against a resent change that is applied twice, and against an id that is reused for another change.
BOOST_AUTO_TEST_CASE(AResentChangeGetsItsFirstResult)
{
    StateMachine machine("nile", {});
    machine.apply(makeChange("a", 0));
    machine.apply(makeChange("b", 0));
    machine.apply(makeChange("c", 1));
    BOOST_TEST((machine.apply(makeChange("a", 0)).version.value == 1));
    BOOST_TEST((machine.apply(makeChange("b", 0)).status == CommandStatus::VersionConflict));
    BOOST_TEST((machine.apply(makeChange("a", 2)).status == CommandStatus::Invalid));
    SetClass other = makeChange("a", 0);
    other.target.percentile = 0.95;
    BOOST_TEST((machine.apply(other).status == CommandStatus::Invalid));
    BOOST_TEST(machine.state().configuration.version.value == 2u);

    StateMachine restored;
    restored.restore(machine.state());
    BOOST_TEST((restored.apply(makeChange("a", 0)).version.value == 1));
}

// Guards against a table of change ids that grows without limit or drops ids too early.
BOOST_AUTO_TEST_CASE(TheLastChangeIdsAreKept)
{
    StateMachine machine("nile", {});
    for (std::size_t n = 0; n <= kMaximumChangeRecords; ++n)
        machine.apply(makeChange("id-" + std::to_string(n), n));
    BOOST_TEST(machine.state().changes.size() == kMaximumChangeRecords);
    BOOST_TEST((machine.earlierResult(makeChange("id-1", 1))->version.value == 2));
    BOOST_TEST(!machine.earlierResult(makeChange("id-0", 0)).has_value());
}

// Guards against invalid class targets and invalid member lists.
BOOST_AUTO_TEST_CASE(InvalidCommandsAreRejected)
{
    const auto isInvalid = [](const std::function<void(SetClass&)>& change) {
        SetClass command = makeChange("a", 0);
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
    BOOST_TEST((machine.apply(makeClaim("q", "h1")).status == CommandStatus::ClaimGranted));
    BOOST_TEST((machine.apply(makeClaim("q", "h1")).status == CommandStatus::ClaimGranted));
    BOOST_TEST((machine.apply(makeClaim("q", "h2")).status == CommandStatus::ClaimDuplicate));
    BOOST_TEST((machine.apply(SettleClaimRequest { "q", "h2", Verdict::NotRun }).status == CommandStatus::Invalid));
    machine.apply(SettleClaimRequest { "q", "h1", Verdict::MayHaveRun });
    const CommandResult duplicate = machine.apply(makeClaim("q", "h1"));
    BOOST_TEST((duplicate.status == CommandStatus::ClaimDuplicate && duplicate.earlier == Verdict::MayHaveRun));
    BOOST_TEST((machine.apply(SettleClaimRequest { "q", "h1", Verdict::NotRun }).status == CommandStatus::Invalid));
}

// Guards against a late repetition of a settlement that releases an id after it was granted to the same holder again.
BOOST_AUTO_TEST_CASE(ARepeatedSettlementDoesNotReleaseTheId)
{
    StateMachine machine("nile", {});
    const SettleClaimRequest notRun { "q", "h1", Verdict::NotRun };
    machine.apply(makeClaim("q", "h1"));
    machine.apply(notRun);
    BOOST_TEST((machine.apply(makeClaim("q", "h1")).status == CommandStatus::ClaimGranted));
    machine.apply(notRun);
    const CommandResult duplicate = machine.apply(makeClaim("q", "h2"));
    BOOST_TEST((duplicate.status == CommandStatus::ClaimDuplicate && duplicate.earlier == Verdict::MayHaveRun));
}

// Guards against a claim that is removed while its later holder still runs the request.
BOOST_AUTO_TEST_CASE(AClaimGrantedAgainIsKeptForAWholeWindow)
{
    StateMachine machine("nile", {});
    constexpr UnixMillis kMinute = 60'000;
    machine.apply(makeClaim("q", "h1"));
    machine.apply(SettleClaimRequest { "q", "h1", Verdict::NotRun });
    BOOST_TEST((machine.apply(makeClaim("q", "h2", kNow, kNow + 5 * kMinute)).status == CommandStatus::ClaimGranted));
    const UnixMillis later = kNow + 11 * kMinute;
    BOOST_TEST((machine.apply(makeClaim("q", "h3", later, later)).status == CommandStatus::ClaimDuplicate));
}

// Guards against claims that are kept for ever, removed while their id is still valid, or expired by a local clock.
BOOST_AUTO_TEST_CASE(ClaimsExpireByProposedTime)
{
    StateMachine machine("nile", {});
    BOOST_TEST((machine.apply(makeClaim("old", "h", kNow - kClaimRetentionMillis - 1)).status == CommandStatus::ClaimExpired));
    BOOST_TEST((machine.apply(makeClaim("future", "h", kNow + kMaximumClaimFutureMillis + 1)).status == CommandStatus::ClaimExpired));
    machine.apply(makeClaim("q", "h1", kNow - 1'000));
    machine.apply(makeClaim("other", "h", kNow, kNow + kClaimRetentionMillis));
    BOOST_TEST((machine.apply(makeClaim("q", "h2", kNow - 1'000, kNow + kClaimRetentionMillis)).status == CommandStatus::ClaimDuplicate));
    machine.apply(makeClaim("later", "h", kNow + kClaimRetentionMillis, kNow + kClaimRetentionMillis + 1));
    BOOST_TEST(!machine.state().claims.contains("q"));
    BOOST_TEST((machine.apply(makeClaim("q", "h2", kNow - 1'000, kNow)).status == CommandStatus::ClaimExpired));
}

BOOST_AUTO_TEST_SUITE_END()
