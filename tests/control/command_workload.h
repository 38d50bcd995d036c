#pragma once

#include "tests/control/control_simulation.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace curranttrail::tests {

// Simulates operators that send changes and entry instances that send claims to random replicas and resend them until they are
// answered. Checks that a change always gets the same result, that one of several changes with the same expected version is
// accepted, and that a claim has one holder at a time.
class CommandWorkload {
public:
    explicit CommandWorkload(ControlSimulation& simulation);

    // Submits new changes and claims at random intervals until stop() is called.
    void start(Micros changePause, Micros claimPause);
    void stop() { m_running = false; }
    // True once every change has its result.
    bool settled() const;
    // Resends every change and checks that each gets its first result again. Returns false if that exceeds the time limit.
    bool resendAll(Micros limit);
    // Checks that the state contains the result of every answered change.
    void checkCommittedChanges(const control::MachineState& state);
    std::size_t accepted() const { return m_winners.size(); }
    std::size_t claimsGranted() const { return m_claimsGranted; }
    // Submits one change of the given class with the given expected version.
    void change(const std::string& className, ConfigurationVersion expected);

private:
    struct Change {
        control::SetClass command;
        std::optional<control::CommandResult> result;
        unsigned answers = 0;
    };

    void newChange();
    void attempt(std::size_t number, unsigned expectedAnswers);
    void onAnswer(std::size_t number, unsigned expectedAnswers, const control::CommandResult& result);
    void newClaim();
    void claim(const std::string& id, const std::string& holder, unsigned remainingAttempts);
    void settle(const std::string& id, const std::string& holder, Verdict outcome, unsigned remainingAttempts);
    std::optional<std::size_t> pickReplica();

    ControlSimulation& m_simulation;
    bool m_running = true;
    Micros m_changePause { 0 };
    Micros m_claimPause { 0 };
    std::vector<Change> m_changes;
    std::map<std::string, ConfigurationVersion> m_knownVersions;
    // Accepted change for each class and expected version.
    std::map<std::pair<std::string, std::uint64_t>, std::string> m_winners;
    std::set<std::uint64_t> m_versions;
    std::uint64_t m_nextHolder = 0;
    std::size_t m_claimsGranted = 0;
    std::map<std::string, std::string> m_holders;
    std::set<std::string> m_settledHolders;
};

} // namespace curranttrail::tests
