#pragma once

#include "control/control_reducer.h"
#include "core/random.h"
#include "storage/control_storage.h"
#include "tests/storage/memory_file_system.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace curranttrail::tests {

// Simulates a control group in virtual time: real reducers and real storage on in-memory disks, with simulated links and clocks.
// Checks the safety invariants after every event and records the first violation.
class ControlSimulation {
public:
    struct Options {
        std::size_t replicas = 3;
        // Number of replicas that are voters at the first start; the others wait to be added. 0 for all.
        std::size_t initialVoterCount = 0;
        std::uint64_t seed = 1;
        bool bootstrapStaysSet = false;
        // Prints the events of all replicas to standard error.
        bool traces = false;
        std::size_t compactionEntries = 64;
        Micros minimumDelay { 100 };
        Micros maximumDelay { 2'000 };
    };
    using Answer = std::function<void(const control::CommandResult&)>;

    explicit ControlSimulation(Options options);

    void runFor(Micros duration);
    // Runs until the condition holds. Returns false if it does not hold within the time limit.
    bool runUntil(const std::function<bool()>& condition, Micros limit);
    void after(Micros delay, std::function<void()> action);
    TimePoint now() const { return m_now; }
    UnixMillis unixNow() const { return 1'800'000'000'000 + m_now.time_since_epoch().count() / 1'000; }
    Random& random() { return m_random; }
    std::uint64_t randomBelow(std::uint64_t bound) { return m_random() % bound; }

    // Sends a command to a replica. The answer callback is not called if the replica crashes first.
    void submit(std::size_t replica, control::Command command, Answer answer);

    // Fault injection.
    void cut(std::size_t from, std::size_t to, bool isCut) { m_cuts[{ from, to }] = isCut; }
    void isolate(std::size_t replica, bool isCut);
    void healLinks();
    void setLoss(unsigned percent) { m_lossPercent = percent; }
    void freeze(std::size_t replica, Micros duration);
    void crash(std::size_t replica, bool losesPower);
    void restart(std::size_t replica);
    void failDisk(std::size_t replica, int error) { m_nodes[replica].disk.failure = error; }

    std::size_t size() const { return m_nodes.size(); }
    static std::string nameOf(std::size_t replica) { return std::string("r").append(std::to_string(replica)); }
    static std::size_t replicaOf(const std::string& name) { return static_cast<std::size_t>(name[1] - '0'); }
    MemoryDisk& disk(std::size_t replica) { return m_nodes[replica].disk; }
    bool isUp(std::size_t replica) const { return m_nodes[replica].reducer != nullptr; }
    bool isFrozen(std::size_t replica) const { return m_nodes[replica].frozenUntil > m_now; }
    control::ReplicaStatus status(std::size_t replica) const;
    const control::MachineState& state(std::size_t replica) const { return m_nodes[replica].reducer->state(); }
    // Returns the replica that leads with a valid lease, if any.
    std::optional<std::size_t> leader() const;
    bool sawEvent(const EventDescription& description) const { return m_seenEvents.contains(description.number); }
    std::uint64_t messages() const { return m_messages; }
    std::vector<control::MemberHealth> memberHealth(std::size_t replica) const;
    bool membersRecorded(std::size_t replica) const { return m_nodes[replica].reducer->membersRecorded(); }
    bool membersCommitted(std::size_t replica) const { return m_nodes[replica].reducer->membersCommitted(); }
    bool isCut(std::size_t from, std::size_t to) const;
    // Number of starts that found damaged files and quarantined them.
    std::uint64_t damagedStarts() const { return m_damagedStarts; }

    // Record the versions that clients know to be accepted. A leader with a valid lease must hold them.
    void recordAcceptedVersion(ConfigurationVersion version) { m_highestAccepted = std::max(m_highestAccepted, version.value); }
    void recordAcceptedDocument(std::uint64_t version) { m_highestDocument = std::max(m_highestDocument, version); }
    const std::string& violation() const { return m_violation; }
    void fail(const std::string& text);

private:
    struct Node {
        MemoryDisk disk;
        std::unique_ptr<storage::ControlStorage> storage;
        std::unique_ptr<control::ControlReducer> reducer;
        std::uint64_t epoch = 0;
        // The local clock shows offset + rate * virtual time.
        Micros clockOffset { 0 };
        double clockRate = 1;
        TimePoint frozenUntil { Micros { 0 } };
        std::deque<control::WriteJournal> writes;
        bool writing = false;
        bool storageFailed = false;
        std::map<std::uint64_t, Answer> answers;
        // Term and encoded command of each entry that was passed to the journal.
        std::map<control::LogIndex, std::pair<control::Term, std::string>> journal;
        control::LogIndex checkedIndex = 0;
        TimePoint wakeup = kNever;
    };
    struct Action {
        TimePoint at;
        std::uint64_t sequence = 0;
        std::function<void()> run;
        bool operator>(const Action& other) const { return std::tie(at, sequence) > std::tie(other.at, other.sequence); }
    };

    bool step(TimePoint limit);
    std::optional<control::RecoveredState> openStorage(Node& node);
    TimePoint localTime(const Node& node) const;
    void deliver(std::size_t replica, control::Event event);
    void perform(std::size_t replica, std::vector<control::Effect> effects);
    void sendMessage(std::size_t from, const control::SendToPeer& message);
    void scheduleWakeup(std::size_t replica);
    void scheduleWrite(std::size_t replica);
    void writeNext(std::size_t replica);
    void checkReplica(std::size_t replica);
    void checkLeases();

    Options m_options;
    Random m_random;
    TimePoint m_now { Micros { 1'000'000 } };
    std::uint64_t m_sequence = 0;
    std::vector<Action> m_actions;
    std::deque<Node> m_nodes;
    std::map<std::pair<std::size_t, std::size_t>, bool> m_cuts;
    unsigned m_lossPercent = 0;
    std::uint64_t m_nextToken = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_damagedStarts = 0;
    std::set<std::uint16_t> m_seenEvents;

    std::string m_violation;
    std::map<control::LogIndex, std::pair<control::Term, std::string>> m_committed;
    std::map<control::Term, std::string> m_leaders;
    std::map<std::uint64_t, std::string> m_configurations;
    std::map<control::LogIndex, std::string> m_states;
    std::uint64_t m_highestAccepted = 0;
    std::uint64_t m_highestDocument = 0;
};

} // namespace curranttrail::tests
