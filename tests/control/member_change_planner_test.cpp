#include "control/member_change_planner.h"
#include "control/state_machine.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::control;

namespace {

constexpr TimePoint kNow { Micros { 60'000'000 } };

GroupStatus makeGroupStatus(std::set<InstanceName> voters, std::vector<MemberHealth> members, std::set<InstanceName> learners = {})
{
    return { "a", std::move(voters), std::move(learners), std::move(members), true };
}

MemberHealth makeMemberHealth(const char* name, std::int64_t timeSinceReplyMs, bool caughtUp = true)
{
    return { name, std::chrono::milliseconds { timeSinceReplyMs }, caughtUp };
}

} // namespace

BOOST_AUTO_TEST_SUITE(MemberChangePlanners)

// Guards against replicas configured with other seeds that never learn the initial members.
BOOST_AUTO_TEST_CASE(TheInitialMembersAreWrittenIntoTheLog)
{
    MemberChangePlanner planner(3);
    GroupStatus first = makeGroupStatus({ "a", "b", "c" }, { makeMemberHealth("b", 10), makeMemberHealth("c", 10) });
    first.membersRecorded = false;
    const std::optional<ChangeMembers> change = planner.nextChange(first, kNow);
    BOOST_REQUIRE(change);
    BOOST_TEST((change->voters == first.voters));
}

// Guards against a new instance that votes before it holds the log, and against one that is never added.
BOOST_AUTO_TEST_CASE(ANewInstanceIsALearnerBeforeItVotes)
{
    MemberChangePlanner planner(3);
    planner.recordJoinRequest("d", kNow);
    std::optional<ChangeMembers> change = planner.nextChange(makeGroupStatus({ "a", "b", "c" }, { makeMemberHealth("b", 10), makeMemberHealth("c", 10) }), kNow);
    BOOST_REQUIRE(change);
    BOOST_TEST(change->learners.contains("d"));
    BOOST_TEST(!change->voters.contains("d"));
    BOOST_TEST(!planner.nextChange(makeGroupStatus({ "a", "b", "c" }, { makeMemberHealth("b", 10), makeMemberHealth("c", 10), makeMemberHealth("d", 10, false) }, { "d" }), kNow));
    change = planner.nextChange(makeGroupStatus({ "a", "b", "c" }, { makeMemberHealth("b", 10), makeMemberHealth("c", 10), makeMemberHealth("d", 10) }, { "d" }), kNow);
    BOOST_REQUIRE(change);
    BOOST_TEST(change->voters.contains("d"));
}

// Guards against a dead voter that counts towards the quorum for ever, and against a group that shrinks until one loss stops it.
BOOST_AUTO_TEST_CASE(AnUnresponsiveVoterIsRemovedWhileEnoughRemain)
{
    MemberChangePlanner planner(3);
    const std::vector<MemberHealth> members { makeMemberHealth("b", 10), makeMemberHealth("c", 10), makeMemberHealth("d", 10'000) };
    const std::optional<ChangeMembers> change = planner.nextChange(makeGroupStatus({ "a", "b", "c", "d" }, members), kNow);
    BOOST_REQUIRE(change);
    BOOST_TEST((change->voters == std::set<InstanceName> { "a", "b", "c" }));
    BOOST_TEST(!planner.nextChange(makeGroupStatus({ "a", "b", "d" }, { makeMemberHealth("b", 10), makeMemberHealth("d", 10'000) }), kNow));
    // A voter that is silent for no longer than an election takes is kept.
    BOOST_TEST(!planner.nextChange(makeGroupStatus({ "a", "b", "c", "d" }, { makeMemberHealth("b", 10), makeMemberHealth("c", 10), makeMemberHealth("d", 900) }), kNow));
    // The next loss may follow at once, so a voter that is gone is not counted for longer than a second.
    BOOST_TEST(planner.nextChange(makeGroupStatus({ "a", "b", "c", "d" }, { makeMemberHealth("b", 10), makeMemberHealth("c", 10), makeMemberHealth("d", 1'000) }), kNow).has_value());
}

// Guards against a group that still counts a voter that has ended by plan, and against one that gives up a voter that it needs.
BOOST_AUTO_TEST_CASE(AMemberLeavesBeforeItEndsUnlessItIsNeeded)
{
    MemberChangePlanner planner(3);
    GroupStatus four = makeGroupStatus({ "a", "b", "c", "d" }, { makeMemberHealth("b", 10), makeMemberHealth("c", 10), makeMemberHealth("d", 10) });
    four.membersCommitted = true;
    planner.recordLeaveRequest("a", kNow);
    BOOST_TEST(!planner.outcomeOfLeave(four, "a"));
    const std::optional<ChangeMembers> change = planner.nextChange(four, kNow);
    BOOST_REQUIRE(change);
    BOOST_TEST((change->voters == std::set<InstanceName> { "b", "c", "d" }));

    GroupStatus three = makeGroupStatus({ "b", "c", "d" }, { makeMemberHealth("c", 10), makeMemberHealth("d", 10) });
    BOOST_TEST(!planner.outcomeOfLeave(three, "a"));
    three.membersCommitted = true;
    BOOST_TEST((planner.outcomeOfLeave(three, "a") == LeaveOutcome::Left));
    planner.recordLeaveRequest("b", kNow);
    BOOST_TEST(!planner.nextChange(three, kNow));
    BOOST_TEST((planner.outcomeOfLeave(three, "b") == LeaveOutcome::Needed));
    // A learner that is catching up will make up for it.
    three.learners.insert("e");
    three.members.push_back(makeMemberHealth("e", 10, false));
    BOOST_TEST(!planner.outcomeOfLeave(three, "b"));
    // A process that starts again takes back the request of the one before.
    planner.recordJoinRequest("b", kNow);
    three.voters.insert("e");
    three.learners.clear();
    BOOST_TEST(!planner.nextChange(three, kNow));
}

// Guards against adding an instance that asked to join and stopped since.
BOOST_AUTO_TEST_CASE(AStaleJoinRequestExpires)
{
    MemberChangePlanner planner(3);
    planner.recordJoinRequest("d", kNow);
    BOOST_TEST(!planner.nextChange(makeGroupStatus({ "a", "b", "c" }, { makeMemberHealth("b", 10), makeMemberHealth("c", 10) }), kNow + Micros { 5'000'000 }));
}

// Guards against a document that replaces one of a higher version, and against a change of content without a new version.
BOOST_AUTO_TEST_CASE(TheHighestDocumentStaysInForce)
{
    StateMachine machine("nile", {});
    BOOST_TEST((machine.apply(SetDocument { 5, "five" }).status == CommandStatus::Accepted));
    BOOST_TEST((machine.apply(SetDocument { 3, "three" }).status == CommandStatus::Accepted));
    BOOST_TEST((machine.apply(SetDocument { 5, "other" }).version.value == 5u));
    BOOST_TEST(machine.state().document.content == "five");
    machine.apply(SetDocument { 9, "nine" });
    BOOST_TEST(machine.state().document.content == "nine");
    BOOST_TEST(!invalidReason(SetDocument { 0, "" }, "nile").empty());
    BOOST_TEST(!invalidReason(SetDocument { 1, std::string(kMaximumDocumentBytes + 1, 'x') }, "nile").empty());
}

BOOST_AUTO_TEST_SUITE_END()
