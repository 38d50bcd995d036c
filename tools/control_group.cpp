#include "tools/control_group.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace curranttrail::tools {

using namespace curranttrail::control;

ControlGroup::ControlGroup(Options options)
    : m_options(std::move(options))
    , m_replicas(m_options.replicas)
{
    std::set<InstanceName> voters;
    for (std::size_t n = 0; n < m_options.replicas; ++n)
        voters.insert(fmt::format("r{}", n));
    for (std::size_t n = 0; n < m_options.replicas; ++n) {
        Replica& replica = m_replicas[n];
        RecoveredState recovered;
        if (!m_options.folder.empty()) {
            replica.storage = std::make_unique<storage::ControlStorage>((m_options.folder / fmt::format("r{}", n)).string());
            storage::ControlStorage::OpenResult result = replica.storage->open();
            if (const storage::StorageError* error = std::get_if<storage::StorageError>(&result))
                throw std::runtime_error(error->text());
            recovered = std::get<RecoveredState>(std::move(result));
        }
        replica.reducer = std::make_unique<ControlReducer>(
            ControlOptions { .name = fmt::format("r{}", n), .owner = "nile", .initialVoters = voters, .seed = m_options.seed * 100 + n, .bootstrap = true });
        handle(n, Recovered { std::move(recovered) });
    }
}

void ControlGroup::schedule(std::size_t replica, TimePoint at, Event event) { m_actions.push({ at, ++m_sequence, replica, std::move(event) }); }

bool ControlGroup::step(TimePoint limit)
{
    if (m_actions.empty() || m_actions.top().at > limit)
        return false;
    const Action action = m_actions.top();
    m_actions.pop();
    m_now = std::max(m_now, action.at);
    Replica& replica = m_replicas[action.replica];
    const bool isStaleTick = std::holds_alternative<Tick>(action.event) && replica.wakeup != action.at;
    if (!replica.stopped && !isStaleTick)
        handle(action.replica, action.event);
    return true;
}

bool ControlGroup::runUntil(const std::function<bool()>& condition, Micros limit)
{
    const TimePoint end = m_now + limit;
    while (!condition()) {
        if (!step(end))
            return false;
    }
    return true;
}

void ControlGroup::runFor(Micros duration)
{
    const TimePoint end = m_now + duration;
    while (step(end)) { }
    m_now = end;
}

void ControlGroup::submit(std::size_t replica, Command command, Answer answer)
{
    const RequestToken token { ++m_nextToken };
    m_answers.emplace(token.value, std::move(answer));
    handle(replica, CommandSubmitted { token, std::move(command) });
}

std::optional<std::size_t> ControlGroup::leader() const
{
    for (std::size_t n = 0; n < m_replicas.size(); ++n) {
        if (!m_replicas[n].stopped && m_replicas[n].reducer->status(m_now).leaseValid)
            return n;
    }
    return std::nullopt;
}

void ControlGroup::handle(std::size_t number, const Event& event)
{
    Replica& replica = m_replicas[number];
    for (const Effect& effect : replica.reducer->handle(event, m_now))
        perform(number, effect);
    const TimePoint wakeup = replica.reducer->nextWakeup();
    if (wakeup == replica.wakeup || wakeup == kNever)
        return;
    replica.wakeup = std::max(wakeup, m_now + Micros { 1 });
    schedule(number, replica.wakeup, Tick {});
}

void ControlGroup::perform(std::size_t number, const Effect& effect)
{
    Replica& replica = m_replicas[number];
    if (const SendToPeer* message = std::get_if<SendToPeer>(&effect)) {
        const std::size_t receiver = static_cast<std::size_t>(message->to[1] - '0');
        schedule(receiver, m_now + m_options.messageDelay, PeerMessageReceived { fmt::format("r{}", number), message->message });
    } else if (const WriteJournal* write = std::get_if<WriteJournal>(&effect)) {
        if (replica.storage) {
            if (const std::optional<storage::StorageError> error = replica.storage->write(*write))
                throw std::runtime_error(error->text());
        }
        // The syncs of one replica are serialised.
        replica.lastSync = std::max(replica.lastSync, m_now) + m_options.syncDelay;
        schedule(number, replica.lastSync, WriteSynced { write->write });
    } else if (const Respond* response = std::get_if<Respond>(&effect)) {
        const auto answer = m_answers.extract(response->token.value);
        if (answer)
            answer.mapped()(response->result);
    }
}

} // namespace curranttrail::tools
