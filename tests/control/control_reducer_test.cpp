#include "tests/control/command_workload.h"

#include <boost/test/unit_test.hpp>

#include <cerrno>
#include <cstdlib>

using namespace curranttrail;
using namespace curranttrail::control;
using namespace curranttrail::tests;

namespace {

constexpr Micros kSecond { 1'000'000 };

SetClass makeChange(std::string id, std::uint64_t expected)
{
    SetClass change;
    change.changeId = std::move(id);
    change.expectedVersion = ConfigurationVersion { expected };
    change.target.name = "orders";
    change.target.owner = "nile";
    change.target.collection = "orders";
    return change;
}

struct Group {
    explicit Group(std::size_t replicas = 3, std::uint64_t seed = 1)
        : simulation({ .replicas = replicas, .seed = seed, .traces = std::getenv("CONTROL_TRACE") != nullptr })
    {
        BOOST_REQUIRE(simulation.runUntil([this] { return allReplicasVote() && simulation.leader(); }, 10 * kSecond));
    }
    ~Group() { BOOST_TEST(simulation.violation().empty(), simulation.violation()); }
    Group(const Group&) = delete;
    Group& operator=(const Group&) = delete;

    bool allReplicasVote()
    {
        for (std::size_t n = 0; n < simulation.size(); ++n) {
            if (!simulation.isUp(n) || simulation.status(n).repairing)
                return false;
        }
        return true;
    }

    std::size_t leader()
    {
        BOOST_REQUIRE(simulation.runUntil([this] { return simulation.leader().has_value(); }, 10 * kSecond));
        return *simulation.leader();
    }

    // Returns a replica other than the given ones.
    std::size_t other(std::size_t first, std::size_t second)
    {
        std::size_t n = 0;
        while (n == first || n == second)
            ++n;
        return n;
    }

    CommandResult submit(std::size_t replica, const Command& command)
    {
        std::optional<CommandResult> answer;
        simulation.submit(replica, command, [&answer](const CommandResult& result) { answer = result; });
        BOOST_REQUIRE(simulation.runUntil([&answer] { return answer.has_value(); }, 5 * kSecond));
        return *answer;
    }

    ControlSimulation simulation;
};

bool isReply(const Effect& effect)
{
    const SendToPeer* message = std::get_if<SendToPeer>(&effect);
    return message && (std::holds_alternative<VoteReply>(message->message) || std::holds_alternative<AppendReply>(message->message));
}

bool contains(const std::vector<Effect>& effects, const EventDescription& description)
{
    return std::any_of(effects.begin(), effects.end(), [&description](const Effect& effect) {
        const LogEvent* event = std::get_if<LogEvent>(&effect);
        return event && event->description == &description;
    });
}

// Returns the first event of the given kind as text, or an empty string.
std::string lineOf(const std::vector<Effect>& effects, const EventDescription& description)
{
    for (const Effect& effect : effects) {
        if (const LogEvent* event = std::get_if<LogEvent>(&effect); event && event->description == &description)
            return formatEvent(*event);
    }
    return {};
}

// A single reducer with an intact disk, after the time in which its vote may be blocked by an earlier lease.
struct SingleReplica {
    explicit SingleReplica(HardState hardState = { 1, "r1", 0 })
        : reducer({ .name = "r0", .owner = "nile", .initialVoters = { "r0", "r1", "r2" }, .seed = 5 })
    {
        RecoveredState state;
        state.hardState = std::move(hardState);
        state.entries = { { 1, 1, NoOperation {} } };
        state.empty = false;
        reducer.handle(Recovered { state }, now);
        now += Micros { 300'000 };
    }
    // Wins the election of term 2. The first entry of the term is written but not yet synced.
    void becomeLeader()
    {
        now += kSecond;
        reducer.handle(Tick {}, now);
        receive(VoteReply { 2, true, true, 0 });
        reducer.handle(WriteSynced { 1 }, now);
        receive(VoteReply { 2, false, true, 0 });
        BOOST_REQUIRE((reducer.status(now).role == Role::Leader));
    }
    std::vector<Effect> receive(PeerMessage message, InstanceName from = "r1") { return reducer.handle(PeerMessageReceived { std::move(from), std::move(message) }, now); }

    TimePoint now { kSecond };
    ControlReducer reducer;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ControlReducers)

// Guards against a vote or an acknowledgement that is sent before the journal write it depends on is synced.
BOOST_AUTO_TEST_CASE(RepliesWaitForTheSync)
{
    SingleReplica voter;
    std::vector<Effect> effects = voter.receive(VoteRequest { 2, false, 1, 1 });
    BOOST_TEST((std::count_if(effects.begin(), effects.end(), isReply) == 0));
    effects = voter.reducer.handle(WriteSynced { 1 }, voter.now);
    BOOST_TEST((std::count_if(effects.begin(), effects.end(), isReply) == 0));
    effects = voter.reducer.handle(WriteSynced { 2 }, voter.now);
    BOOST_REQUIRE((std::count_if(effects.begin(), effects.end(), isReply) == 1));

    SingleReplica follower;
    AppendRequest request { .term = 1, .previousIndex = 1, .previousTerm = 1, .round = 1 };
    request.entries = { { 1, 2, NoOperation {} } };
    for (const Effect& effect : follower.receive(request)) {
        if (isReply(effect))
            BOOST_TEST(std::get<AppendReply>(std::get<SendToPeer>(effect).message).matchIndex == 1u);
    }
    effects = follower.reducer.handle(WriteSynced { 1 }, follower.now);
    BOOST_REQUIRE(effects.size() == 1u);
    BOOST_TEST(std::get<AppendReply>(std::get<SendToPeer>(effects[0]).message).matchIndex == 2u);
}

// Guards against a leader that is elected during another leader's lease: a replica restarts, states that no leader is known,
// supports a leader, restarts again and then votes.
BOOST_AUTO_TEST_CASE(AVoteSoonAfterARestartIsConditional)
{
    SingleReplica voter;
    voter.now -= Micros { 295'000 };
    const auto repliesTo = [&voter](const VoteRequest& request) {
        std::vector<VoteReply> replies;
        std::vector<Effect> effects = voter.receive(request);
        for (std::uint64_t write = 1; write < 9; ++write) {
            for (Effect& effect : voter.reducer.handle(WriteSynced { write }, voter.now))
                effects.push_back(std::move(effect));
        }
        for (const Effect& effect : effects) {
            const SendToPeer* message = std::get_if<SendToPeer>(&effect);
            if (message && std::holds_alternative<VoteReply>(message->message))
                replies.push_back(std::get<VoteReply>(message->message));
        }
        return replies;
    };
    const std::vector<VoteReply> preVoteReplies = repliesTo({ 2, true, 1, 1 });
    BOOST_REQUIRE(preVoteReplies.size() == 1u);
    BOOST_TEST((preVoteReplies[0].granted && preVoteReplies[0].conditional && !preVoteReplies[0].leads));
    BOOST_TEST(repliesTo({ 2, false, 1, 1, preVoteReplies[0].start + 1 }).empty());
    const std::vector<VoteReply> voteReplies = repliesTo({ 2, false, 1, 1, preVoteReplies[0].start });
    BOOST_REQUIRE(voteReplies.size() == 1u);
    BOOST_TEST((voteReplies[0].granted && voteReplies[0].conditional));
    voter.receive(AppendRequest { .term = 2, .previousIndex = 1, .previousTerm = 1, .round = 1 });
    BOOST_TEST(repliesTo({ 3, false, 1, 1, preVoteReplies[0].start }).empty());
}

// Guards against an election won by conditional votes while another voter leads or has not stated that it does not lead.
BOOST_AUTO_TEST_CASE(ConditionalVotesCountOnceNoVoterLeads)
{
    const auto roleAfter = [](std::optional<bool> thirdLeads) {
        SingleReplica candidate;
        candidate.now -= Micros { 195'000 };
        candidate.reducer.handle(Tick {}, candidate.now);
        candidate.receive(VoteReply { 2, true, true, 0, 7, true, false }, "r1");
        if (thirdLeads)
            candidate.receive(VoteReply { 1, true, false, 0, 8, false, *thirdLeads }, "r2");
        return candidate.reducer.status(candidate.now).role;
    };
    BOOST_TEST((roleAfter(std::nullopt) == Role::PreCandidate));
    BOOST_TEST((roleAfter(true) == Role::PreCandidate));
    BOOST_TEST((roleAfter(false) == Role::Candidate));
}

// Guards against a second vote in a term, and against a vote while a leader may hold a lease that this replica supports.
BOOST_AUTO_TEST_CASE(VotesAreRefusedAfterAVoteAndDuringALease)
{
    SingleReplica voter({ 2, "r2", 0 });
    const auto grants = [&voter](Term term) {
        std::vector<Effect> effects = voter.receive(VoteRequest { term, false, 1, 1 });
        for (std::uint64_t write = 1; write < 9; ++write) {
            for (Effect& effect : voter.reducer.handle(WriteSynced { write }, voter.now))
                effects.push_back(std::move(effect));
        }
        return std::any_of(effects.begin(), effects.end(), [](const Effect& effect) { return isReply(effect) && std::get<VoteReply>(std::get<SendToPeer>(effect).message).granted; });
    };
    BOOST_TEST(!grants(2));
    voter.receive(AppendRequest { .term = 2, .previousIndex = 1, .previousTerm = 1, .round = 1 });
    voter.now += Micros { 299'000 };
    BOOST_TEST(!grants(3));
    BOOST_TEST(voter.reducer.status(voter.now).term == 2u);
    voter.now += Micros { 1'000 };
    BOOST_TEST(grants(3));
}

// Guards against a replica that votes after a restart although a leader may hold a lease that it supported before.
BOOST_AUTO_TEST_CASE(ARestartedReplicaHonoursALeaseItSupported)
{
    SingleReplica single;
    single.now -= Micros { 1 };
    single.receive(VoteRequest { 2, false, 1, 1 });
    BOOST_TEST(single.reducer.status(single.now).term == 1u);
    single.now += Micros { 1 };
    single.receive(VoteRequest { 2, false, 1, 1 });
    BOOST_TEST(single.reducer.status(single.now).term == 2u);
}

// Guards against a commit that counts the leader's own copy of an entry before it is synced, so that a crash would lose it.
BOOST_AUTO_TEST_CASE(TheLeaderCountsItselfAfterItsSync)
{
    SingleReplica single;
    single.becomeLeader();
    single.receive(AppendReply { 2, true, 2, 2, false, 0 });
    BOOST_TEST(single.reducer.status(single.now).commitIndex == 0u);
    single.reducer.handle(WriteSynced { 2 }, single.now);
    BOOST_TEST(single.reducer.status(single.now).commitIndex == 2u);
}

// Guards against committing an entry of an earlier term by counting its copies: a later leader could still overwrite it.
BOOST_AUTO_TEST_CASE(EntriesOfEarlierTermsDoNotCommitAlone)
{
    SingleReplica single;
    single.becomeLeader();
    single.reducer.handle(WriteSynced { 2 }, single.now);
    single.receive(AppendReply { 2, true, 1, 1, false, 0 });
    BOOST_TEST(single.reducer.status(single.now).commitIndex == 0u);
    single.receive(AppendReply { 2, true, 2, 2, false, 0 });
    BOOST_TEST(single.reducer.status(single.now).commitIndex == 2u);
}

// Guards against a replica that raises its term during a partition and deposes the leader when it returns.
BOOST_AUTO_TEST_CASE(AReturningReplicaDoesNotDeposeTheLeader)
{
    Group group;
    const std::size_t leader = group.leader();
    const Term term = group.simulation.status(leader).term;
    const std::size_t cut = group.other(leader, leader);
    group.simulation.isolate(cut, true);
    group.simulation.runFor(10 * kSecond);
    group.simulation.isolate(cut, false);
    group.simulation.runFor(5 * kSecond);
    BOOST_TEST((group.simulation.leader() == leader && group.simulation.status(leader).term == term));
}

// Guards against an isolated leader that does not notice it: it must report the lost lease and refuse changes without proposing
// them.
BOOST_AUTO_TEST_CASE(AnIsolatedLeaderLosesItsLease)
{
    Group group;
    const std::size_t leader = group.leader();
    const std::uint64_t known = group.simulation.state(leader).configuration.version.value;
    group.simulation.isolate(leader, true);
    std::optional<CommandResult> proposed;
    group.simulation.submit(leader, makeChange("proposed", 7), [&proposed](const CommandResult& result) { proposed = result; });
    BOOST_REQUIRE(group.simulation.runUntil([&] { return !group.simulation.status(leader).leaseValid; }, Micros { 300'000 }));
    group.simulation.runFor(Micros { 1'000 });
    BOOST_TEST(group.simulation.sawEvent(kLeaseLost));
    BOOST_TEST((group.submit(leader, makeChange("lost", 0)).status == CommandStatus::NotLeader));
    BOOST_REQUIRE(group.simulation.runUntil([&] { return group.simulation.leader() && proposed; }, 2 * kSecond));
    BOOST_TEST((proposed->status == CommandStatus::OutcomeUnknown));
    BOOST_TEST((group.simulation.status(leader).role != Role::Leader));
    BOOST_TEST((group.submit(group.leader(), makeChange("kept", 0)).status == CommandStatus::Accepted));
    group.simulation.runFor(60 * kSecond);
    BOOST_TEST(group.simulation.state(leader).configuration.version.value == known);
    group.simulation.isolate(leader, false);
    BOOST_TEST(group.simulation.runUntil([&] { return group.simulation.state(leader).configuration.version.value == known + 1; }, 5 * kSecond));
    BOOST_TEST((group.submit(group.leader(), makeChange("lost", 0)).status == CommandStatus::VersionConflict));
}

// Guards against a leader that resumes after a suspension and answers although its lease has expired.
BOOST_AUTO_TEST_CASE(AFrozenLeaderChecksItsLeaseFirst)
{
    Group group;
    const std::size_t leader = group.leader();
    group.simulation.freeze(leader, 3 * kSecond);
    std::optional<CommandResult> answer;
    group.simulation.submit(leader, makeChange("stale", 0), [&answer](const CommandResult& result) { answer = result; });
    BOOST_REQUIRE(group.simulation.runUntil([&] { return answer.has_value(); }, 5 * kSecond));
    BOOST_TEST((answer->status == CommandStatus::NotLeader));
}

// Guards against a resent change that is applied again after a change of leader: any later leader must return its first result.
BOOST_AUTO_TEST_CASE(AResentChangeGetsItsResultFromTheNextLeader)
{
    Group group;
    const std::size_t leader = group.leader();
    BOOST_TEST((group.submit(leader, makeChange("a", 0)).status == CommandStatus::Accepted));
    group.simulation.crash(leader, true);
    const std::size_t next = group.leader();
    const CommandResult again = group.submit(next, makeChange("a", 0));
    BOOST_TEST((again.status == CommandStatus::Accepted && again.version.value == 1));
}

// Guards against a journal that grows with every change, and against a restart of all replicas that loses or repeats changes.
BOOST_AUTO_TEST_CASE(HundredsOfChangesSurviveARestartOfAllReplicas)
{
    Group group;
    CommandWorkload workload(group.simulation);
    workload.start(Micros { 20'000 }, Micros { 50'000 });
    group.simulation.runFor(15 * kSecond);
    workload.stop();
    BOOST_REQUIRE(group.simulation.runUntil([&] { return workload.settled(); }, 10 * kSecond));
    BOOST_TEST(workload.accepted() > 300u);
    for (std::size_t n = 0; n < 3; ++n)
        group.simulation.crash(n, true);
    for (std::size_t n = 0; n < 3; ++n)
        group.simulation.restart(n);
    workload.checkCommittedChanges(group.simulation.state(group.leader()));
    BOOST_TEST(workload.resendAll(30 * kSecond));
}

// Guards against counting a replica with a lost disk before its repair, and against a change lost by a second disk loss right
// after it.
BOOST_AUTO_TEST_CASE(ASecondFailureRightAfterARepairLosesNothing)
{
    Group group;
    const std::size_t leader = group.leader();
    const std::size_t lost = group.other(leader, leader);
    const std::size_t third = group.other(leader, lost);
    group.simulation.isolate(third, true);
    BOOST_TEST((group.submit(leader, makeChange("a", 0)).status == CommandStatus::Accepted));
    group.simulation.crash(lost, true);
    group.simulation.disk(lost).erase();
    group.simulation.restart(lost);
    // There is no majority without the third replica, since the replica under repair neither votes nor counts.
    group.simulation.runFor(5 * kSecond);
    BOOST_TEST((!group.simulation.leader() && group.simulation.status(lost).repairing));
    group.simulation.isolate(third, false);
    BOOST_REQUIRE(group.simulation.runUntil([&] { return group.allReplicasVote() && group.simulation.leader(); }, 10 * kSecond));
    const std::size_t second = group.leader();
    group.simulation.crash(second, true);
    group.simulation.disk(second).erase();
    BOOST_TEST((group.submit(group.leader(), makeChange("a", 0)).version.value == 1));
}

// Guards against a repair that completes before the log is synced, and against a second vote in the term in which it completes.
BOOST_AUTO_TEST_CASE(ARepairEndsAfterTheSyncAndKeepsTheVote)
{
    SingleReplica single({ 1, std::nullopt, 77 });
    AppendRequest request { .term = 1, .previousIndex = 1, .previousTerm = 1, .round = 1, .repairId = 77, .repairIndex = 2 };
    request.entries = { { 1, 2, NoOperation {} } };
    BOOST_TEST(!contains(single.receive(request), kRepairCompleted));
    single.reducer.handle(WriteSynced { 1 }, single.now);
    request.repairId = 78;
    BOOST_TEST(!contains(single.receive(request), kRepairCompleted));
    request.repairId = 77;
    BOOST_TEST(contains(single.receive(request), kRepairCompleted));
    BOOST_TEST(single.reducer.status(single.now).repairing);
    single.reducer.handle(WriteSynced { 2 }, single.now);
    BOOST_TEST(!single.reducer.status(single.now).repairing);
    single.now += Micros { 300'000 };
    BOOST_TEST(!contains(single.receive(VoteRequest { 1, false, 9, 1 }, "r2"), kVoteGranted));
}

// Guards against a second vote in a term by a replica that lost the record of its first vote with its disk.
BOOST_AUTO_TEST_CASE(ARepairingReplicaGrantsNoVote)
{
    SingleReplica single({ 1, std::nullopt, 77 });
    BOOST_TEST(!contains(single.receive(VoteRequest { 2, false, 9, 1 }), kVoteGranted));
}

// Guards against a delayed reply from before the loss of a disk that is mistaken for the completion of the repair.
BOOST_AUTO_TEST_CASE(RepliesFromBeforeTheLossEndNoRepair)
{
    SingleReplica single;
    single.becomeLeader();
    BOOST_TEST(contains(single.receive(AppendReply { 2, true, 0, 1, true, 55 }), kPeerRepairing));
    for (std::uint64_t write : { 2, 3 })
        single.reducer.handle(WriteSynced { write }, single.now);
    single.receive(AppendReply { 2, true, 3, 4, false, 0 }, "r2");
    BOOST_REQUIRE(single.reducer.status(single.now).commitIndex == 3u);
    BOOST_TEST(!contains(single.receive(AppendReply { 2, true, 2, 3, false, 0 }), kPeerRepaired));
}

// Guards against the removal of a replica while a voter is under repair, and against two membership changes at a time.
BOOST_AUTO_TEST_CASE(MembersChangeOneAtATimeAndAfterRepairs)
{
    Group group(5);
    const std::size_t leader = group.leader();
    const std::size_t lost = group.other(leader, leader);
    const std::size_t removed = group.other(leader, lost);
    ChangeMembers change { group.simulation.status(leader).voters, {} };
    change.voters.erase(ControlSimulation::nameOf(removed));
    group.simulation.crash(lost, true);
    group.simulation.disk(lost).erase();
    group.simulation.restart(lost);
    group.simulation.runUntil([&] { return group.simulation.sawEvent(kPeerRepairing); }, kSecond);
    BOOST_TEST((group.submit(leader, change).status == CommandStatus::RepairPending));
    BOOST_REQUIRE(group.simulation.runUntil([&] { return group.allReplicasVote(); }, 5 * kSecond));
    group.simulation.runFor(Micros { 200'000 });

    std::optional<CommandResult> first;
    group.simulation.submit(leader, change, [&first](const CommandResult& result) { first = result; });
    ChangeMembers next = change;
    next.voters.erase(ControlSimulation::nameOf(lost));
    BOOST_TEST((group.submit(leader, next).status == CommandStatus::RepairPending));
    group.simulation.runUntil([&] { return first.has_value(); }, kSecond);
    BOOST_TEST((first->status == CommandStatus::Accepted));
    next.voters.erase(ControlSimulation::nameOf(leader));
    BOOST_TEST((group.submit(leader, next).status == CommandStatus::Invalid));

    // The removed replica must be a learner first and is promoted only after it has caught up.
    BOOST_TEST((group.submit(leader, ChangeMembers { group.simulation.status(leader).voters, {} }).status == CommandStatus::Accepted));
    ChangeMembers promotion { change.voters, {} };
    promotion.voters.insert(ControlSimulation::nameOf(removed));
    BOOST_TEST((group.submit(leader, promotion).status == CommandStatus::Invalid));
    group.simulation.isolate(removed, true);
    BOOST_TEST((group.submit(leader, ChangeMembers { change.voters, { ControlSimulation::nameOf(removed) } }).status == CommandStatus::Accepted));
    BOOST_TEST((group.submit(leader, promotion).status == CommandStatus::RepairPending));
    group.simulation.isolate(removed, false);
    group.simulation.runFor(kSecond);
    BOOST_TEST((group.submit(leader, promotion).status == CommandStatus::Accepted));
}

// Guards against a leader with a failed disk that stays in office, so that the group accepts no changes.
BOOST_AUTO_TEST_CASE(ALeaderWithAFailedDiskStepsDown)
{
    Group group;
    const std::size_t leader = group.leader();
    group.simulation.failDisk(leader, ENOSPC);
    group.simulation.submit(leader, makeChange("a", 0), nullptr);
    BOOST_REQUIRE(group.simulation.runUntil([&] { return group.simulation.leader() && group.simulation.leader() != leader; }, 3 * kSecond));
    BOOST_TEST(group.simulation.status(leader).storageFailed);
    BOOST_TEST((group.submit(group.leader(), makeChange("b", 1)).status != CommandStatus::StorageFailed));

    // A leader with a failed disk continues to lead and refuses changes if no other replica can take over.
    const std::size_t next = group.leader();
    group.simulation.isolate(leader, true);
    group.simulation.failDisk(next, EIO);
    group.simulation.submit(next, makeChange("c", 9), nullptr);
    group.simulation.runFor(Micros { 100'000 });
    BOOST_TEST((group.submit(next, makeChange("d", 9)).status == CommandStatus::StorageFailed));
    group.simulation.failDisk(next, 0);
    group.simulation.runFor(Micros { 500'000 });
    BOOST_TEST((group.submit(group.leader(), makeChange("d", 9)).status == CommandStatus::VersionConflict));
}

// Guards against counting a replica for entries that it lost when its disk was restored from an older copy: the leader that
// received the acknowledgements must have it repaired.
BOOST_AUTO_TEST_CASE(AReplicaRestoredFromAnOlderCopyIsRepaired)
{
    Group group;
    const std::size_t leader = group.leader();
    const std::size_t restored = group.other(leader, leader);
    const MemoryDisk::Names copy = group.simulation.disk(restored).copy();
    for (std::uint64_t n = 0; n < 20; ++n)
        BOOST_TEST((group.submit(leader, makeChange("id-" + std::to_string(n), n)).status == CommandStatus::Accepted));
    group.simulation.runUntil([&] { return group.simulation.state(restored).configuration.version.value == 20; }, 2 * kSecond);
    group.simulation.runFor(Micros { 200'000 });
    group.simulation.crash(restored, true);
    group.simulation.disk(restored).current = group.simulation.disk(restored).durable = copy;
    group.simulation.restart(restored);
    BOOST_TEST(group.simulation.runUntil([&] { return group.simulation.sawEvent(kPeerRegressed) && group.allReplicasVote(); }, 3 * kSecond));
    group.simulation.runFor(Micros { 500'000 });
    BOOST_TEST(group.simulation.state(restored).configuration.version.value == 20u);
}

// Guards against a group without a leader whose logs do not show who is counted, under repair or silent.
BOOST_AUTO_TEST_CASE(AReplicaWithoutALeaderSaysWhomItCountsAndWhoAnswers)
{
    SingleReplica replica;
    std::string line;
    for (int n = 0; n < 40 && line.empty(); ++n) {
        replica.now += Micros { 100'000 };
        const std::vector<Effect> effects = replica.reducer.handle(Tick {}, replica.now);
        line = lineOf(effects, kNoLeader);
        replica.receive(VoteReply { 1, true, false, 7 });
        replica.receive(VoteRequest { 2, true, 1, 1 }, "r2");
    }
    BOOST_TEST(line.find("voters=r0,r1,r2") != std::string::npos, line);
    BOOST_TEST(line.find("last_index=1") != std::string::npos, line);
    BOOST_TEST(line.find("answers=r1=refused_under_repair,r2=none") != std::string::npos, line);
    BOOST_TEST(line.find("asked_by=r2") != std::string::npos, line);
    BOOST_TEST((replica.reducer.status(replica.now).timeWithoutLeader >= Micros { 2'000'000 }));
}

// Guards against a refusal that reads as if the replica held no document, although it was only not the leader.
BOOST_AUTO_TEST_CASE(ARefusedDocumentNamesTheVersionHeld)
{
    Group group;
    const std::size_t leader = group.leader();
    BOOST_REQUIRE((group.submit(leader, SetDocument { 7, "content" }).status == CommandStatus::Accepted));
    const std::size_t follower = group.other(leader, leader);
    BOOST_REQUIRE(group.simulation.runUntil([&] { return group.simulation.state(follower).document.version == 7; }, kSecond));
    const CommandResult result = group.submit(follower, SetDocument { 8, "content" });
    BOOST_TEST((result.status == CommandStatus::NotLeader));
    BOOST_TEST(result.version.value == 7u);
}

// Guards against a group that lost all disks and starts empty without an operator's decision.
BOOST_AUTO_TEST_CASE(NoGroupIsFoundedWithoutBootstrap)
{
    Group group;
    for (std::size_t n = 0; n < group.simulation.size(); ++n) {
        group.simulation.crash(n, true);
        group.simulation.disk(n).erase();
    }
    for (std::size_t n = 0; n < group.simulation.size(); ++n)
        group.simulation.restart(n);
    group.simulation.runFor(10 * kSecond);
    BOOST_TEST(!group.simulation.leader().has_value());
}

// Guards against an empty group that forms beside replicas that still hold the state, when the bootstrap option stays set.
BOOST_AUTO_TEST_CASE(BootstrapNeedsEveryVoter)
{
    ControlSimulation simulation({ .replicas = 3, .seed = 3, .bootstrapStaysSet = true });
    simulation.isolate(2, true);
    simulation.runFor(10 * kSecond);
    BOOST_TEST(!simulation.leader().has_value());
    simulation.isolate(2, false);
    BOOST_REQUIRE(simulation.runUntil([&] { return simulation.leader() && !simulation.status(0).repairing && !simulation.status(1).repairing && !simulation.status(2).repairing; }, 10 * kSecond));
    std::optional<CommandResult> answer;
    simulation.submit(*simulation.leader(), makeChange("a", 0), [&answer](const CommandResult& result) { answer = result; });
    simulation.runFor(kSecond);
    BOOST_REQUIRE((answer && answer->status == CommandStatus::Accepted));
    for (std::size_t n : { 0, 1 }) {
        simulation.crash(n, true);
        simulation.disk(n).erase();
        simulation.restart(n);
    }
    simulation.isolate(2, true);
    simulation.runFor(10 * kSecond);
    BOOST_TEST(!simulation.leader().has_value());
    simulation.isolate(2, false);
    BOOST_REQUIRE(simulation.runUntil([&] { return simulation.leader().has_value(); }, 10 * kSecond));
    BOOST_TEST(simulation.state(*simulation.leader()).configuration.version.value == 1u);
    BOOST_TEST(simulation.violation().empty(), simulation.violation());
}

BOOST_AUTO_TEST_SUITE_END()
