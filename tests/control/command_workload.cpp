#include "tests/control/command_workload.h"

#include <algorithm>

namespace curranttrail::tests {

using namespace curranttrail::control;

CommandWorkload::CommandWorkload(ControlSimulation& simulation)
    : m_simulation(simulation)
{
}

void CommandWorkload::start(Micros changePause, Micros claimPause)
{
    m_changePause = changePause;
    m_claimPause = claimPause;
    newChange();
    newClaim();
}

std::optional<std::size_t> CommandWorkload::pickReplica()
{
    // Selects the leader in two of three cases if there is one, otherwise a random replica.
    if (m_simulation.randomBelow(3) != 0) {
        if (const std::optional<std::size_t> leader = m_simulation.leader())
            return leader;
    }
    const std::size_t replica = m_simulation.randomBelow(m_simulation.size());
    return m_simulation.isUp(replica) ? std::optional(replica) : std::nullopt;
}

void CommandWorkload::newChange()
{
    if (!m_running)
        return;
    const std::string name = "class-" + std::to_string(m_simulation.randomBelow(3));
    const ConfigurationVersion expected = m_knownVersions[name];
    // Sometimes two operators submit changes with the same expected version.
    for (std::uint64_t n = m_simulation.randomBelow(3) == 0 ? 2 : 1; n > 0; --n)
        change(name, expected);
    m_simulation.after(m_changePause / 2 + Micros { static_cast<Micros::rep>(m_simulation.randomBelow(static_cast<std::uint64_t>(m_changePause.count()))) }, [this] { newChange(); });
}

void CommandWorkload::change(const std::string& className, ConfigurationVersion expected)
{
    Change change;
    change.command.changeId = "change-" + std::to_string(m_changes.size());
    change.command.expectedVersion = expected;
    change.command.target.name = className;
    change.command.target.owner = "nile";
    change.command.target.collection = "orders";
    change.command.target.latency = Micros { static_cast<Micros::rep>(1'000 + m_simulation.randomBelow(50'000)) };
    m_changes.push_back(change);
    attempt(m_changes.size() - 1, 1);
}

void CommandWorkload::attempt(std::size_t number, unsigned expectedAnswers)
{
    Change& change = m_changes[number];
    if (change.answers >= expectedAnswers)
        return;
    if (const std::optional<std::size_t> replica = pickReplica())
        m_simulation.submit(*replica, change.command, [this, number, expectedAnswers](const CommandResult& result) { onAnswer(number, expectedAnswers, result); });
    const Micros pause { static_cast<Micros::rep>(100'000 + m_simulation.randomBelow(600'000)) };
    m_simulation.after(pause, [this, number, expectedAnswers] { attempt(number, expectedAnswers); });
}

void CommandWorkload::onAnswer(std::size_t number, unsigned expectedAnswers, const CommandResult& result)
{
    if (result.status != CommandStatus::Accepted && result.status != CommandStatus::VersionConflict && result.status != CommandStatus::Invalid)
        return;
    Change& change = m_changes[number];
    change.answers = std::max(change.answers, expectedAnswers);
    const std::string& name = change.command.target.name;
    if (change.result) {
        if (change.result->status != result.status || change.result->version != result.version)
            m_simulation.fail(change.command.changeId + " got two different results");
        return;
    }
    change.result = result;
    m_knownVersions[name].value = std::max(m_knownVersions[name].value, result.version.value);
    if (result.status == CommandStatus::Invalid)
        m_simulation.fail(change.command.changeId + " was refused as invalid: " + result.message);
    if (result.status != CommandStatus::Accepted)
        return;
    m_simulation.recordAcceptedVersion(result.version);
    if (!m_versions.insert(result.version.value).second)
        m_simulation.fail("two changes got version " + std::to_string(result.version.value));
    if (!m_winners.emplace(std::pair(name, change.command.expectedVersion.value), change.command.changeId).second)
        m_simulation.fail("two changes with the same expected version were accepted");
}

void CommandWorkload::newClaim()
{
    if (!m_running)
        return;
    claim("request-" + std::to_string(m_simulation.randomBelow(50)), "holder-" + std::to_string(++m_nextHolder), 5);
    m_simulation.after(m_claimPause / 2 + Micros { static_cast<Micros::rep>(m_simulation.randomBelow(static_cast<std::uint64_t>(m_claimPause.count()))) }, [this] { newClaim(); });
}

void CommandWorkload::claim(const std::string& id, const std::string& holder, unsigned remainingAttempts)
{
    const std::optional<std::size_t> replica = pickReplica();
    const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
    const auto onAnswer = [this, id, holder, answered](const CommandResult& result) {
        *answered = result.status == CommandStatus::ClaimGranted || result.status == CommandStatus::ClaimDuplicate;
        if (result.status != CommandStatus::ClaimGranted)
            return;
        ++m_claimsGranted;
        // A repeated answer may arrive after the holder has settled its claim.
        if (m_settledHolders.contains(holder))
            return;
        const auto [it, isNew] = m_holders.emplace(id, holder);
        if (it->second != holder)
            m_simulation.fail(id + " was granted to " + holder + " while " + it->second + " still holds it");
        if (!isNew)
            return;
        const Verdict outcome = m_simulation.randomBelow(2) == 0 ? Verdict::NotRun : m_simulation.randomBelow(2) == 0 ? Verdict::Ran
                                                                                                                      : Verdict::MayHaveRun;
        m_simulation.after(Micros { static_cast<Micros::rep>(m_simulation.randomBelow(500'000)) }, [this, id, holder, outcome] {
            m_settledHolders.insert(holder);
            // Another holder may be granted the id from now on.
            if (outcome == Verdict::NotRun)
                m_holders.erase(id);
            settle(id, holder, outcome, 10);
        });
    };
    if (replica)
        m_simulation.submit(*replica, ClaimRequest { id, holder, m_simulation.unixNow() - 1'000, 0 }, onAnswer);
    m_simulation.after(Micros { 400'000 }, [this, id, holder, remainingAttempts, answered] {
        if (!*answered && remainingAttempts > 1 && !m_settledHolders.contains(holder))
            claim(id, holder, remainingAttempts - 1);
    });
}

void CommandWorkload::settle(const std::string& id, const std::string& holder, Verdict outcome, unsigned remainingAttempts)
{
    if (const std::optional<std::size_t> replica = pickReplica())
        m_simulation.submit(*replica, SettleClaimRequest { id, holder, outcome }, [](const CommandResult&) {});
    if (remainingAttempts > 1)
        m_simulation.after(Micros { 300'000 }, [this, id, holder, outcome, remainingAttempts] { settle(id, holder, outcome, remainingAttempts - 1); });
}

bool CommandWorkload::settled() const
{
    return std::all_of(m_changes.begin(), m_changes.end(), [](const Change& change) { return change.result.has_value(); });
}

bool CommandWorkload::resendAll(Micros limit)
{
    for (std::size_t n = 0; n < m_changes.size(); ++n)
        attempt(n, 2);
    return m_simulation.runUntil([this] { return std::all_of(m_changes.begin(), m_changes.end(), [](const Change& change) { return change.answers >= 2; }); }, limit);
}

void CommandWorkload::checkCommittedChanges(const MachineState& state)
{
    std::map<std::string, CommandResult> recordedResults;
    for (const ChangeRecord& record : state.changes) {
        if (!recordedResults.emplace(record.changeId, record.result).second)
            m_simulation.fail(record.changeId + " was applied twice");
    }
    for (const Change& change : m_changes) {
        if (!change.result)
            continue;
        const auto it = recordedResults.find(change.command.changeId);
        if (it == recordedResults.end() || it->second.status != change.result->status || it->second.version != change.result->version)
            m_simulation.fail(change.command.changeId + " was answered, and its result is lost or altered");
    }
}

} // namespace curranttrail::tests
