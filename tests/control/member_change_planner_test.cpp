#include "control/member_change_planner.h"
#include "control/state_machine.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::control;

namespace {

constexpr TimePoint kNow { Micros { 60'000'000 } };

GroupStatus view(std::set<InstanceName> voters, std::vector<MemberHealth> members, std::set<InstanceName> learners = {})
{
    return { "a", std::move(voters), std::move(learners), std::move(members), true };
}

MemberHealth member(const char* name, std::int64_t timeSinceReplyMs, bool caughtUp = true)
{
    return { name, std::chrono::milliseconds { timeSinceReplyMs }, caughtUp };
}

} // namespace

BOOST_AUTO_TEST_SUITE(GroupStewards)

// Guards against replicas with other seeds that never learn the first members.
BOOST_AUTO_TEST_CASE(TheFirstMembersAreWrittenIntoTheLog)
{
    MemberChangePlanner planner(3);
    GroupStatus first = view({ "a", "b", "c" }, { member("b", 10), member("c", 10) });
    first.membersRecorded = false;
    const std::optional<ChangeMembers> change = planner.nextChange(first, kNow);
    BOOST_REQUIRE(change);
    BOOST_TEST((change->voters == first.voters));
}

// Guards against a newcomer that votes before it holds the log, and against one that is never taken in.
BOOST_AUTO_TEST_CASE(ANewcomerLearnsBeforeItVotes)
{
    MemberChangePlanner planner(3);
    planner.recordJoinRequest("d", kNow);
    std::optional<ChangeMembers> change = planner.nextChange(view({ "a", "b", "c" }, { member("b", 10), member("c", 10) }), kNow);
    BOOST_REQUIRE(change);
    BOOST_TEST(change->learners.contains("d"));
    BOOST_TEST(!change->voters.contains("d"));
    BOOST_TEST(!planner.nextChange(view({ "a", "b", "c" }, { member("b", 10), member("c", 10), member("d", 10, false) }, { "d" }), kNow));
    change = planner.nextChange(view({ "a", "b", "c" }, { member("b", 10), member("c", 10), member("d", 10) }, { "d" }), kNow);
    BOOST_REQUIRE(change);
    BOOST_TEST(change->voters.contains("d"));
}

// Guards against a dead voter that holds up the quorum for ever, and against a group that shrinks until one loss is too many.
BOOST_AUTO_TEST_CASE(ASilentVoterIsRemovedWhileEnoughRemain)
{
    MemberChangePlanner planner(3);
    const std::vector<MemberHealth> members { member("b", 10), member("c", 10), member("d", 10'000) };
    const std::optional<ChangeMembers> change = planner.nextChange(view({ "a", "b", "c", "d" }, members), kNow);
    BOOST_REQUIRE(change);
    BOOST_TEST((change->voters == std::set<InstanceName> { "a", "b", "c" }));
    BOOST_TEST(!planner.nextChange(view({ "a", "b", "d" }, { member("b", 10), member("d", 10'000) }), kNow));
    // A short silence is a restart.
    BOOST_TEST(!planner.nextChange(view({ "a", "b", "c", "d" }, { member("b", 10), member("c", 10), member("d", 2'000) }), kNow));
}

// Guards against a request to join that is answered long after its sender went away.
BOOST_AUTO_TEST_CASE(AnOldRequestToJoinIsForgotten)
{
    MemberChangePlanner planner(3);
    planner.recordJoinRequest("d", kNow);
    BOOST_TEST(!planner.nextChange(view({ "a", "b", "c" }, { member("b", 10), member("c", 10) }), kNow + Micros { 5'000'000 }));
}

// Guards against a document that replaces a higher version, and against other content under a held version.
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
