#include "tests/control/operators.h"

#include <algorithm>

namespace curranttrail::tests {

using namespace curranttrail::control;

Operators::Operators(ControlWorld& world)
    : m_world(world)
{
}

void Operators::start(Micros changePause, Micros claimPause)
{
    m_changePause = changePause;
    m_claimPause = claimPause;
    newChange();
    newClaim();
}

std::optional<std::size_t> Operators::anyReplica()
{
    // Mostly the leader, else whichever is up.
    if (m_world.below(3) != 0) {
        if (const std::optional<std::size_t> leader = m_world.leader())
            return leader;
    }
    const std::size_t replica = m_world.below(m_world.size());
    return m_world.isUp(replica) ? std::optional(replica) : std::nullopt;
}

void Operators::newChange()
{
    if (!m_running)
        return;
    const std::string name = "class-" + std::to_string(m_world.below(3));
    const ConfigurationVersion expected = m_knownVersions[name];
    // Two operators now and then submit changes with the same expected version.
    for (std::uint64_t n = m_world.below(3) == 0 ? 2 : 1; n > 0; --n)
        change(name, expected);
    m_world.after(m_changePause / 2 + Micros { static_cast<Micros::rep>(m_world.below(static_cast<std::uint64_t>(m_changePause.count()))) }, [this] { newChange(); });
}

void Operators::change(const std::string& className, ConfigurationVersion expected)
{
    Change change;
    change.command.changeId = "change-" + std::to_string(m_changes.size());
    change.command.expectedVersion = expected;
    change.command.target.name = className;
    change.command.target.owner = "nile";
    change.command.target.collection = "orders";
    change.command.target.latency = Micros { static_cast<Micros::rep>(1'000 + m_world.below(50'000)) };
    m_changes.push_back(change);
    attempt(m_changes.size() - 1, 1);
}

void Operators::attempt(std::size_t number, unsigned wantedAnswers)
{
    Change& change = m_changes[number];
    if (change.answers >= wantedAnswers)
        return;
    if (const std::optional<std::size_t> replica = anyReplica())
        m_world.submit(*replica, change.command, [this, number, wantedAnswers](const CommandResult& result) { onAnswer(number, wantedAnswers, result); });
    const Micros pause { static_cast<Micros::rep>(100'000 + m_world.below(600'000)) };
    m_world.after(pause, [this, number, wantedAnswers] { attempt(number, wantedAnswers); });
}

void Operators::onAnswer(std::size_t number, unsigned wantedAnswers, const CommandResult& result)
{
    if (result.status != CommandStatus::Accepted && result.status != CommandStatus::VersionConflict && result.status != CommandStatus::Invalid)
        return;
    Change& change = m_changes[number];
    change.answers = std::max(change.answers, wantedAnswers);
    const std::string& name = change.command.target.name;
    if (change.result) {
        if (change.result->status != result.status || change.result->version != result.version)
            m_world.fail(change.command.changeId + " got two different results");
        return;
    }
    change.result = result;
    m_knownVersions[name].value = std::max(m_knownVersions[name].value, result.version.value);
    if (result.status == CommandStatus::Invalid)
        m_world.fail(change.command.changeId + " is called invalid: " + result.message);
    if (result.status != CommandStatus::Accepted)
        return;
    m_world.noteAccepted(result.version);
    if (!m_versions.insert(result.version.value).second)
        m_world.fail("two changes got version " + std::to_string(result.version.value));
    if (!m_winners.emplace(std::pair(name, change.command.expectedVersion.value), change.command.changeId).second)
        m_world.fail("two changes won the same race");
}

void Operators::newClaim()
{
    if (!m_running)
        return;
    claim("request-" + std::to_string(m_world.below(50)), "holder-" + std::to_string(++m_nextHolder), 5);
    m_world.after(m_claimPause / 2 + Micros { static_cast<Micros::rep>(m_world.below(static_cast<std::uint64_t>(m_claimPause.count()))) }, [this] { newClaim(); });
}

void Operators::claim(const std::string& id, const std::string& holder, unsigned tries)
{
    const std::optional<std::size_t> replica = anyReplica();
    const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
    const auto onAnswer = [this, id, holder, answered](const CommandResult& result) {
        *answered = result.status == CommandStatus::ClaimGranted || result.status == CommandStatus::ClaimDuplicate;
        if (result.status != CommandStatus::ClaimGranted)
            return;
        ++m_claimsGranted;
        // A repeated answer may arrive after the holder has settled.
        if (m_done.contains(holder))
            return;
        const auto [it, isNew] = m_holders.emplace(id, holder);
        if (it->second != holder)
            m_world.fail(id + " is granted to " + holder + " while " + it->second + " holds it");
        if (!isNew)
            return;
        const Verdict outcome = m_world.below(2) == 0 ? Verdict::NotRun : m_world.below(2) == 0 ? Verdict::Ran
                                                                                                : Verdict::MayHaveRun;
        m_world.after(Micros { static_cast<Micros::rep>(m_world.below(500'000)) }, [this, id, holder, outcome] {
            m_done.insert(holder);
            // From here on another holder may be granted the id.
            if (outcome == Verdict::NotRun)
                m_holders.erase(id);
            settle(id, holder, outcome, 10);
        });
    };
    if (replica)
        m_world.submit(*replica, ClaimRequest { id, holder, m_world.unixNow() - 1'000, 0 }, onAnswer);
    m_world.after(Micros { 400'000 }, [this, id, holder, tries, answered] {
        if (!*answered && tries > 1 && !m_done.contains(holder))
            claim(id, holder, tries - 1);
    });
}

void Operators::settle(const std::string& id, const std::string& holder, Verdict outcome, unsigned tries)
{
    if (const std::optional<std::size_t> replica = anyReplica())
        m_world.submit(*replica, SettleClaimRequest { id, holder, outcome }, [](const CommandResult&) {});
    if (tries > 1)
        m_world.after(Micros { 300'000 }, [this, id, holder, outcome, tries] { settle(id, holder, outcome, tries - 1); });
}

bool Operators::settled() const
{
    return std::all_of(m_changes.begin(), m_changes.end(), [](const Change& change) { return change.result.has_value(); });
}

bool Operators::resendAll(Micros limit)
{
    for (std::size_t n = 0; n < m_changes.size(); ++n)
        attempt(n, 2);
    return m_world.runUntil([this] { return std::all_of(m_changes.begin(), m_changes.end(), [](const Change& change) { return change.answers >= 2; }); }, limit);
}

void Operators::checkSurvivors(const MachineState& state)
{
    std::map<std::string, CommandResult> recorded;
    for (const ChangeRecord& record : state.changes) {
        if (!recorded.emplace(record.changeId, record.result).second)
            m_world.fail(record.changeId + " was applied twice");
    }
    for (const Change& change : m_changes) {
        if (!change.result)
            continue;
        const auto it = recorded.find(change.command.changeId);
        if (it == recorded.end() || it->second.status != change.result->status || it->second.version != change.result->version)
            m_world.fail(change.command.changeId + " was answered and is lost or altered");
    }
}

} // namespace curranttrail::tests
