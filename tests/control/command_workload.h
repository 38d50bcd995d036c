#pragma once

#include "tests/control/control_simulation.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace curranttrail::tests {

// CommandWorkload and entry instances that send changes and claims to any replica, resend what was not answered, and check the answers:
// a change has one result for ever, a race has one winner, and a claim has one holder at a time.
class CommandWorkload {
public:
    explicit CommandWorkload(ControlSimulation& simulation);

    // Submits new changes and claims every so often until stop() is called.
    void start(Micros changePause, Micros claimPause);
    void stop() { m_running = false; }
    // True once every change has its result.
    bool settled() const;
    // Resends every change and checks that each gets its result again; returns false if that takes too long.
    bool resendAll(Micros limit);
    // Checks that every accepted change is in the given state.
    void checkCommittedChanges(const control::MachineState& state);
    std::size_t accepted() const { return m_winners.size(); }
    std::size_t claimsGranted() const { return m_claimsGranted; }
    // Adds one change of the given class and expected version.
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
    // The change that won for a class and an expected version.
    std::map<std::pair<std::string, std::uint64_t>, std::string> m_winners;
    std::set<std::uint64_t> m_versions;
    std::uint64_t m_nextHolder = 0;
    std::size_t m_claimsGranted = 0;
    std::map<std::string, std::string> m_holders;
    std::set<std::string> m_settledHolders;
};

} // namespace curranttrail::tests
