#include "tests/control/control_simulation.h"

#include "control/serialization.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace curranttrail::tests {

using namespace curranttrail::control;

ControlSimulation::ControlSimulation(Options options)
    : m_options(options)
    , m_random(options.seed)
{
    for (std::size_t n = 0; n < options.replicas; ++n) {
        Node& node = m_nodes.emplace_back();
        node.clockOffset = Micros { static_cast<Micros::rep>(randomBelow(10'000'000)) };
        node.clockRate = 0.95 + 0.1 * static_cast<double>(randomBelow(1'000)) / 1'000;
    }
    for (std::size_t n = 0; n < options.replicas; ++n)
        restart(n);
}

void ControlSimulation::fail(const std::string& text)
{
    if (m_violation.empty())
        m_violation = "at " + std::to_string(m_now.time_since_epoch().count()) + " us: " + text;
}

void ControlSimulation::after(Micros delay, std::function<void()> action)
{
    m_actions.push_back({ m_now + delay, ++m_sequence, std::move(action) });
    std::push_heap(m_actions.begin(), m_actions.end(), std::greater<> {});
}

bool ControlSimulation::step(TimePoint limit)
{
    if (m_actions.empty() || m_actions.front().at > limit || !m_violation.empty())
        return false;
    std::pop_heap(m_actions.begin(), m_actions.end(), std::greater<> {});
    Action action = std::move(m_actions.back());
    m_actions.pop_back();
    m_now = std::max(m_now, action.at);
    action.run();
    checkLeases();
    return true;
}

void ControlSimulation::runFor(Micros duration)
{
    const TimePoint limit = m_now + duration;
    while (step(limit)) { }
    m_now = std::max(m_now, limit);
}

bool ControlSimulation::runUntil(const std::function<bool()>& condition, Micros limit)
{
    const TimePoint end = m_now + limit;
    while (!condition()) {
        if (!step(end))
            return false;
    }
    return true;
}

TimePoint ControlSimulation::localTime(const Node& node) const
{
    const double elapsed = static_cast<double>(m_now.time_since_epoch().count()) * node.clockRate;
    return TimePoint { node.clockOffset + Micros { static_cast<Micros::rep>(elapsed) } };
}

void ControlSimulation::submit(std::size_t replica, Command command, Answer answer)
{
    Node& node = m_nodes[replica];
    const RequestToken token { ++m_nextToken };
    node.answers[token.value] = std::move(answer);
    if (ClaimRequest* claim = std::get_if<ClaimRequest>(&command))
        claim->proposedAt = unixNow();
    deliver(replica, CommandSubmitted { token, *decodeCommand(encodeCommand(command)) });
}

void ControlSimulation::isolate(std::size_t replica, bool isCut)
{
    for (std::size_t n = 0; n < size(); ++n) {
        cut(n, replica, isCut);
        cut(replica, n, isCut);
    }
}

void ControlSimulation::healLinks()
{
    m_cuts.clear();
    m_lossPercent = 0;
}

void ControlSimulation::freeze(std::size_t replica, Micros duration)
{
    if (isUp(replica))
        m_nodes[replica].frozenUntil = m_now + duration;
}

void ControlSimulation::crash(std::size_t replica, bool losesPower)
{
    Node& node = m_nodes[replica];
    ++node.epoch;
    node.reducer.reset();
    node.storage.reset();
    node.writes.clear();
    node.answers.clear();
    node.writing = node.storageFailed = false;
    node.frozenUntil = m_now;
    if (losesPower)
        node.disk.losePower(m_random);
    else
        node.disk.killProcess();
}

// Opens the storage as the daemon does. Returns std::nullopt if the process crashes or the disk fails meanwhile.
std::optional<RecoveredState> ControlSimulation::openStorage(Node& node)
{
    try {
        node.storage = std::make_unique<storage::ControlStorage>(std::make_unique<MemoryFileSystem>(node.disk));
        storage::ControlStorage::OpenResult result = node.storage->open();
        const storage::StorageError* error = std::get_if<storage::StorageError>(&result);
        if (error && error->kind == storage::StorageErrorKind::Damaged) {
            ++m_damagedStarts;
            if (m_options.traces)
                std::fprintf(stderr, "%ld damage %s\n", m_now.time_since_epoch().count(), error->text().c_str());
            std::string folder;
            if (node.storage->quarantineFiles(folder))
                return std::nullopt;
            result = node.storage->open();
        }
        if (RecoveredState* state = std::get_if<RecoveredState>(&result))
            return std::move(*state);
    } catch (const SimulatedCrash&) {
        node.disk.losePower(m_random);
    }
    return std::nullopt;
}

void ControlSimulation::restart(std::size_t replica)
{
    Node& node = m_nodes[replica];
    const std::optional<RecoveredState> opened = openStorage(node);
    if (!opened) {
        node.storage.reset();
        node.disk.killProcess();
        return;
    }
    const RecoveredState& recovered = *opened;
    ControlOptions options;
    options.name = nameOf(replica);
    options.owner = "nile";
    const std::size_t initialVoterCount = m_options.initialVoterCount == 0 ? size() : m_options.initialVoterCount;
    for (std::size_t n = 0; n < initialVoterCount && replica < initialVoterCount; ++n)
        options.initialVoters.insert(nameOf(n));
    options.seed = m_random();
    options.bootstrap = replica < initialVoterCount && (m_options.bootstrapStaysSet || node.epoch == 0);
    options.compactionEntries = m_options.compactionEntries;
    options.retainedEntries = 16;
    node.reducer = std::make_unique<ControlReducer>(options);
    node.journal.clear();
    node.checkedIndex = recovered.snapshot ? recovered.snapshot->lastIndex : 0;
    for (const LogEntry& entry : recovered.entries)
        node.journal[entry.index] = { entry.term, encodeCommand(entry.command) };
    node.wakeup = kNever;
    deliver(replica, Recovered { recovered });
}

void ControlSimulation::deliver(std::size_t replica, Event event)
{
    Node& node = m_nodes[replica];
    if (!node.reducer)
        return;
    if (isFrozen(replica)) {
        after(node.frozenUntil - m_now, [this, replica, epoch = node.epoch, event = std::move(event)] {
            if (m_nodes[replica].epoch == epoch)
                deliver(replica, event);
        });
        return;
    }
    perform(replica, node.reducer->handle(event, localTime(node)));
    if (!node.reducer)
        return;
    checkReplica(replica);
    scheduleWakeup(replica);
}

void ControlSimulation::scheduleWakeup(std::size_t replica)
{
    Node& node = m_nodes[replica];
    const TimePoint wakeup = node.reducer->nextWakeup();
    if (wakeup == node.wakeup || wakeup == kNever)
        return;
    node.wakeup = wakeup;
    const double delay = static_cast<double>((wakeup - localTime(node)).count()) / node.clockRate;
    after(Micros { std::max<Micros::rep>(1, static_cast<Micros::rep>(delay) + 1) }, [this, replica, epoch = node.epoch, wakeup] {
        Node& target = m_nodes[replica];
        if (target.epoch != epoch || target.wakeup != wakeup)
            return;
        target.wakeup = kNever;
        deliver(replica, Tick {});
    });
}

void ControlSimulation::perform(std::size_t replica, std::vector<Effect> effects)
{
    Node& node = m_nodes[replica];
    for (Effect& effect : effects) {
        if (const SendToPeer* message = std::get_if<SendToPeer>(&effect)) {
            sendMessage(replica, *message);
        } else if (WriteJournal* write = std::get_if<WriteJournal>(&effect)) {
            if (!write->entries.empty())
                node.journal.erase(node.journal.lower_bound(write->entries.front().index), node.journal.end());
            for (const LogEntry& entry : write->entries)
                node.journal[entry.index] = { entry.term, encodeCommand(entry.command) };
            if (write->replaceEntries)
                node.journal.clear();
            if (write->snapshot)
                node.checkedIndex = std::max(node.checkedIndex, write->snapshot->lastIndex);
            node.writes.push_back(std::move(*write));
            scheduleWrite(replica);
        } else if (const Respond* response = std::get_if<Respond>(&effect)) {
            const auto answer = node.answers.extract(response->token.value);
            if (answer && answer.mapped())
                answer.mapped()(*decodeCommandResult(encodeCommandResult(response->result)));
        } else if (const ConfigurationCommitted* committed = std::get_if<ConfigurationCommitted>(&effect)) {
            const std::string digest = encodeConfiguration(committed->configuration);
            if (m_configurations.emplace(committed->configuration.version.value, digest).first->second != digest)
                fail("two different configurations with version " + std::to_string(committed->configuration.version.value));
        } else if (const LogEvent* event = std::get_if<LogEvent>(&effect)) {
            m_seenEvents.insert(event->description->number);
            if (m_options.traces)
                std::fprintf(stderr, "%ld r%zu %s\n", m_now.time_since_epoch().count(), replica, formatEvent(*event).c_str());
            if (event->description == &kProtocolViolation)
                fail(nameOf(replica) + " " + formatEvent(*event));
        }
    }
}

void ControlSimulation::sendMessage(std::size_t from, const SendToPeer& message)
{
    ++m_messages;
    const std::size_t to = replicaOf(message.to);
    if (m_cuts[{ from, to }] || to >= size())
        return;
    const std::string bytes = encodePeerMessage(message.message);
    const unsigned copies = randomBelow(100) < m_lossPercent ? 0 : randomBelow(100) < m_lossPercent / 2 ? 2
                                                                                                        : 1;
    for (unsigned n = 0; n < copies; ++n) {
        Micros delay = m_options.minimumDelay + Micros { static_cast<Micros::rep>(randomBelow(static_cast<std::uint64_t>((m_options.maximumDelay - m_options.minimumDelay).count()) + 1)) };
        // While messages are lost, some also arrive very late and out of order.
        if (m_lossPercent > 0 && randomBelow(50) == 0)
            delay *= 200;
        after(delay, [this, from, to, bytes] {
            const std::optional<PeerMessage> decoded = decodePeerMessage(bytes);
            if (!decoded)
                fail("a message cannot be decoded");
            else if (!m_cuts[{ from, to }])
                deliver(to, PeerMessageReceived { nameOf(from), *decoded });
        });
    }
}

void ControlSimulation::scheduleWrite(std::size_t replica)
{
    Node& node = m_nodes[replica];
    if (node.writing || node.writes.empty())
        return;
    node.writing = true;
    const Micros duration = node.storageFailed ? Micros { 100'000 } : Micros { static_cast<Micros::rep>(50 + randomBelow(3'000)) };
    after(duration, [this, replica, epoch = node.epoch] {
        if (m_nodes[replica].epoch == epoch)
            writeNext(replica);
    });
}

void ControlSimulation::writeNext(std::size_t replica)
{
    Node& node = m_nodes[replica];
    node.writing = false;
    std::optional<storage::StorageError> error;
    try {
        error = node.storage->write(node.writes.front());
    } catch (const SimulatedCrash&) {
        crash(replica, randomBelow(3) != 0);
        return;
    }
    const std::uint64_t number = node.writes.front().write;
    if (error) {
        if (!std::exchange(node.storageFailed, true))
            deliver(replica, StorageChanged { true });
    } else {
        node.writes.pop_front();
        if (std::exchange(node.storageFailed, false))
            deliver(replica, StorageChanged { false });
        deliver(replica, WriteSynced { number });
    }
    if (m_nodes[replica].storage)
        scheduleWrite(replica);
}

ReplicaStatus ControlSimulation::status(std::size_t replica) const
{
    const Node& node = m_nodes[replica];
    return node.reducer->status(localTime(node));
}

std::vector<MemberHealth> ControlSimulation::memberHealth(std::size_t replica) const
{
    const Node& node = m_nodes[replica];
    return node.reducer->memberHealth(localTime(node));
}

bool ControlSimulation::isCut(std::size_t from, std::size_t to) const
{
    const auto it = m_cuts.find({ from, to });
    return it != m_cuts.end() && it->second;
}

std::optional<std::size_t> ControlSimulation::leader() const
{
    for (std::size_t n = 0; n < size(); ++n) {
        if (isUp(n) && status(n).leaseValid)
            return n;
    }
    return std::nullopt;
}

void ControlSimulation::checkReplica(std::size_t replica)
{
    Node& node = m_nodes[replica];
    const ReplicaStatus status = this->status(replica);
    if (status.role == Role::Leader && m_leaders.emplace(status.term, nameOf(replica)).first->second != nameOf(replica))
        fail("two leaders in term " + std::to_string(status.term));
    if (status.commitIndex < node.checkedIndex)
        fail(nameOf(replica) + " decreased its commit index");
    const LogIndex previous = node.checkedIndex;
    while (node.checkedIndex < status.commitIndex) {
        const auto it = node.journal.find(node.checkedIndex + 1);
        // A leader may commit entries that it has not yet written to its own journal.
        if (it == node.journal.end())
            break;
        ++node.checkedIndex;
        if (m_committed.emplace(node.checkedIndex, it->second).first->second != it->second)
            fail(nameOf(replica) + " committed a different entry at index " + std::to_string(node.checkedIndex));
    }
    if (previous == node.checkedIndex)
        return;
    if (randomBelow(8) == 0) {
        const std::string digest = encodeSnapshotRecord({ 0, {}, { 0, 0, state(replica) } });
        if (m_states.emplace(status.commitIndex, digest).first->second != digest)
            fail("two different states at index " + std::to_string(status.commitIndex));
    }
}

void ControlSimulation::checkLeases()
{
    std::size_t valid = 0;
    for (std::size_t n = 0; n < size(); ++n) {
        if (!isUp(n) || !status(n).leaseValid)
            continue;
        ++valid;
        if (state(n).configuration.version.value < m_highestAccepted)
            fail(nameOf(n) + " holds a valid lease but lacks an accepted change");
        if (state(n).document.version < m_highestDocument)
            fail(nameOf(n) + " holds a valid lease but lacks an acknowledged document");
    }
    if (valid > 1)
        fail("two leaders hold valid leases");
}

} // namespace curranttrail::tests
