#include "control/control_reducer.h"
#include "control/serialization.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace curranttrail;
using namespace curranttrail::control;

namespace {

constexpr std::uint64_t kRepair = 77;

struct Answer {
    InstanceName from;
    bool granted = false;
    bool underRepair = false;
};

const Answer kGrantedBy1 { "r1", true };
const Answer kGrantedBy2 { "r2", true };
const Answer kGrantedBy3 { "r3", true };
const Answer kRepairOf2 { "r2", false, true };
const Answer kRepairOf3 { "r3", false, true };

// Replica r0 of three voters to which r3 was added.
class Candidate {
public:
    explicit Candidate(const std::vector<Command>& commands)
        : m_reducer({ .name = "r0", .owner = "nile", .initialVoters = { "r0", "r1", "r2" }, .seed = 5 })
    {
        RecoveredState state;
        state.hardState = { 1, "r1", 0 };
        state.entries = { { 1, 1, NoOperation {} }, { 1, 2, ChangeMembers { { "r0", "r1", "r2", "r3" }, {} } } };
        for (const Command& command : commands)
            state.entries.push_back({ 1, state.entries.size() + 1, command });
        state.empty = false;
        m_reducer.handle(Recovered { state }, m_now);
    }

    bool leads() const { return m_reducer.status(m_now).role == Role::Leader; }

    // Runs an election in which the answers to the pre-vote and to the request for votes arrive in the given order.
    bool wins(const std::vector<Answer>& preVotes, const std::vector<Answer>& votes)
    {
        m_now += Micros { 1'000'000 };
        m_reducer.handle(Tick {}, m_now);
        for (const Answer& answer : preVotes)
            receive(answer, true);
        m_reducer.handle(WriteSynced { 1 }, m_now);
        for (const Answer& answer : votes)
            receive(answer, false);
        return leads();
    }

    bool wins(const std::vector<Answer>& answers) { return wins(answers, answers); }

    bool commits(const std::vector<InstanceName>& holders)
    {
        m_reducer.handle(WriteSynced { 2 }, m_now);
        const LogIndex last = m_reducer.status(m_now).lastIndex;
        for (const InstanceName& name : holders)
            m_reducer.handle(PeerMessageReceived { name, AppendReply { 2, true, last, 4, true, name == "r3" ? kRepair : 0 } }, m_now);
        return m_reducer.status(m_now).commitIndex >= last;
    }

    // Returns whether the next heartbeat ends the repair of r3.
    bool endsRepair()
    {
        m_now += Micros { 60'000 };
        for (const Effect& effect : m_reducer.handle(Tick {}, m_now)) {
            const SendToPeer* message = std::get_if<SendToPeer>(&effect);
            const AppendRequest* request = message ? std::get_if<AppendRequest>(&message->message) : nullptr;
            if (request && message->to == "r3" && request->repairId == kRepair)
                return true;
        }
        return false;
    }

private:
    void receive(const Answer& answer, bool isPreVote)
    {
        const Term term = answer.granted || !isPreVote ? 2 : 0;
        m_reducer.handle(PeerMessageReceived { answer.from, VoteReply { term, isPreVote, answer.granted, answer.underRepair ? kRepair : 0 } }, m_now);
    }

    TimePoint m_now { Micros { 1'000'000 } };
    ControlReducer m_reducer;
};

const std::vector<Command> kConfirmed { ConfirmMembers {} };
const std::vector<Command> kRemoval { ConfirmMembers {}, ChangeMembers { { "r0", "r1", "r3" }, {} } };
const std::vector<Command> kProvenRemoval { ConfirmMembers {}, ChangeMembers { { "r0", "r1", "r3" }, {} }, ChangeMembers { { "r0", "r1", "r3" }, {} } };

} // namespace

BOOST_AUTO_TEST_SUITE(VotingSets)

// Guards against a group of four without a leader if one voter is gone and another has lost its disk.
BOOST_AUTO_TEST_CASE(HalfOfAnEvenSetElectsBesideAVoterUnderRepair)
{
    BOOST_TEST(Candidate(kConfirmed).wins({ kGrantedBy1, kRepairOf3 }));
    BOOST_TEST(Candidate(kConfirmed).wins({ kRepairOf3, kGrantedBy2 }));
    Candidate leader(kConfirmed);
    BOOST_TEST_REQUIRE(leader.wins({ kGrantedBy1, kRepairOf3 }));
    BOOST_TEST(!leader.commits({ "r1" }));
    BOOST_TEST(!leader.endsRepair());
    BOOST_TEST(leader.commits({ "r3" }));
    BOOST_TEST(leader.endsRepair());
}

// Guards against a voter that states in a term that it is under repair, is repaired by the leader of an earlier term and votes in that term.
BOOST_AUTO_TEST_CASE(AStatementWaitsForTheTermOnDisk)
{
    TimePoint now { Micros { 1'000'000 } };
    ControlReducer voter({ .name = "r3", .owner = "nile", .initialVoters = { "r0", "r1", "r2", "r3" }, .seed = 5 });
    voter.handle(Recovered {}, now);
    voter.handle(WriteSynced { 1 }, now);
    now += Micros { 400'000 };
    const auto repliesTo = [&](const Event& event) {
        std::vector<PeerMessage> replies;
        for (const Effect& effect : voter.handle(event, now)) {
            if (const SendToPeer* message = std::get_if<SendToPeer>(&effect); message && message->to != "r0")
                replies.push_back(message->message);
        }
        return replies;
    };
    BOOST_TEST(repliesTo(PeerMessageReceived { "r1", VoteRequest { 5, false, 3, 1 } }).empty());
    const std::vector<PeerMessage> replies = repliesTo(WriteSynced { 2 });
    BOOST_TEST_REQUIRE(replies.size() == 1u);
    const VoteReply& statement = std::get<VoteReply>(replies.front());
    BOOST_TEST(statement.term == 5u);
    BOOST_TEST(!statement.granted);
    BOOST_TEST(statement.repairId != 0u);
    BOOST_TEST(voter.status(now).term == 5u);
    voter.handle(PeerMessageReceived { "r0", AppendRequest { .term = 4, .round = 1, .repairId = statement.repairId } }, now);
    BOOST_TEST(voter.status(now).repairing);
}

// Guards against two leaders in a term: each of two halves of four elects one.
BOOST_AUTO_TEST_CASE(HalfOfAnEvenSetElectsNobodyOtherwise)
{
    BOOST_TEST(!Candidate(kConfirmed).wins({ kGrantedBy1 }));
    BOOST_TEST(!Candidate(kConfirmed).wins({ kRepairOf3 }));
    BOOST_TEST(!Candidate(kConfirmed).wins({ kRepairOf2, kRepairOf3, kGrantedBy1 }));
    BOOST_TEST(!Candidate({}).wins({ kGrantedBy1, kRepairOf3 }));
    // The statement counts in the term of the election only.
    BOOST_TEST(!Candidate(kConfirmed).wins({ kGrantedBy1, kRepairOf3 }, { kGrantedBy1 }));
    // The vote was given before the disk was lost, and the voter states the loss in the same term.
    BOOST_TEST(!Candidate(kConfirmed).wins({ kGrantedBy1, kGrantedBy3 }, { kGrantedBy3, kRepairOf3 }));
    BOOST_TEST(Candidate(kConfirmed).wins({ kGrantedBy1, kGrantedBy2 }));
}

// Guards against a leader of three while the fourth, whose removal may not be committed, is part of another majority.
BOOST_AUTO_TEST_CASE(AnUncommittedChangeOfVotersNeedsBothSets)
{
    BOOST_TEST(!Candidate(kRemoval).wins({ kGrantedBy3 }));
    BOOST_TEST(!Candidate(kRemoval).wins({ kGrantedBy2, kRepairOf3 }));
    BOOST_TEST(Candidate(kRemoval).wins({ kGrantedBy1, kRepairOf3 }));
    BOOST_TEST(Candidate(kRemoval).wins({ kGrantedBy1, kGrantedBy3 }));
}

// Guards against a group of three that cannot elect after a restart, because nobody knows that the removal of the fourth was committed.
BOOST_AUTO_TEST_CASE(ALaterEntryShowsThatAChangeOfVotersIsCommitted)
{
    BOOST_TEST(Candidate(kProvenRemoval).wins({ kGrantedBy3 }));
    BOOST_TEST(!Candidate(kProvenRemoval).wins({ kRepairOf3 }));
}

// Guards against a voter under repair that counts in a set of three: the leader and the voter alone would commit.
BOOST_AUTO_TEST_CASE(AVoterUnderRepairCountsOnlyInTheSetThatElected)
{
    Candidate leader(kRemoval);
    BOOST_TEST_REQUIRE(leader.wins({ kGrantedBy1, kRepairOf3 }));
    BOOST_TEST(!leader.commits({ "r3" }));
    BOOST_TEST(!leader.commits({ "r2" }));
    BOOST_TEST(leader.commits({ "r1" }));
}

// Guards against a confirmation that is undone with its entry but still counts.
BOOST_AUTO_TEST_CASE(ARemovedEntryProvesNothing)
{
    ReplicatedLog log;
    log.reset(0, 0, { { "r0", "r1" }, {} });
    log.append({ 1, 1, ChangeMembers { { "r0", "r1", "r2" }, {} } });
    BOOST_TEST_REQUIRE(log.uncommittedPredecessor(0) != nullptr);
    BOOST_TEST((log.uncommittedPredecessor(0)->members.voters == std::set<InstanceName> { "r0", "r1" }));
    BOOST_TEST(log.uncommittedPredecessor(1) == nullptr);
    log.append({ 1, 2, ChangeMembers { { "r0", "r1", "r2" }, { "r3" } } });
    BOOST_TEST(log.uncommittedPredecessor(0) == nullptr);
    log.append({ 1, 3, ConfirmMembers {} });
    BOOST_TEST(log.currentMembers().confirmedBy == 3u);
    log.truncateFrom(3);
    BOOST_TEST(log.currentMembers().confirmedBy == 0u);
    log.truncateFrom(2);
    BOOST_TEST(log.uncommittedPredecessor(0) != nullptr);
}

// Guards against replies and snapshots that members of earlier builds cannot read, and against a confirmation that a snapshot loses.
BOOST_AUTO_TEST_CASE(ConfirmationsAreEncoded)
{
    for (const bool knows : { false, true }) {
        for (const std::uint64_t repairId : { std::uint64_t { 0 }, kRepair }) {
            const std::string bytes = encodePeerMessage(AppendReply { 2, true, 3, 4, knows, repairId });
            const std::optional<PeerMessage> decoded = decodePeerMessage(bytes);
            BOOST_TEST_REQUIRE(decoded.has_value());
            BOOST_TEST(std::get<AppendReply>(*decoded).knowsConfirmation == knows);
            BOOST_TEST(std::get<AppendReply>(*decoded).repairId == repairId);
        }
    }
    for (const bool isConfirmed : { false, true }) {
        for (const std::set<DataCentreName>& evacuated : { std::set<DataCentreName> {}, std::set<DataCentreName> { "dc-a" } }) {
            SnapshotRecord record;
            const std::size_t plainSize = encodeSnapshotRecord(record).size();
            record.snapshot.state.membersConfirmed = isConfirmed;
            record.snapshot.state.evacuatedDataCentres = evacuated;
            const std::string bytes = encodeSnapshotRecord(record);
            BOOST_TEST((bytes.size() == plainSize) == (!isConfirmed && evacuated.empty()));
            const std::optional<SnapshotRecord> decoded = decodeSnapshotRecord(bytes);
            BOOST_TEST_REQUIRE(decoded.has_value());
            BOOST_TEST(decoded->snapshot.state.membersConfirmed == isConfirmed);
            BOOST_TEST((decoded->snapshot.state.evacuatedDataCentres == evacuated));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
