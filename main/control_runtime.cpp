#include "main/control_runtime.h"

#include "main/control_events.h"

#include <fmt/format.h>

#include <stdexcept>
#include <utility>

namespace curranttrail {

namespace {

    control::CommandResult stoppedResult(bool proposed)
    {
        control::CommandResult result;
        result.status = proposed ? control::CommandStatus::OutcomeUnknown : control::CommandStatus::NotLeader;
        result.message = "this control instance is stopping";
        return result;
    }

} // namespace

ControlRuntime::ControlRuntime(control::ControlOptions options, const std::string& dataFolder, transport::EventSink& sink, PeerSender sendToPeer)
    : m_sink(sink)
    , m_sendToPeer(std::move(sendToPeer))
    , m_storage(dataFolder)
    , m_reducer(std::move(options))
    , m_recovered(openFolder())
{
}

ControlRuntime::~ControlRuntime()
{
    stop();
}

control::RecoveredState ControlRuntime::openFolder()
{
    storage::ControlStorage::OpenResult opened = m_storage.open();
    const storage::StorageError* error = std::get_if<storage::StorageError>(&opened);
    if (error && error->kind == storage::StorageErrorKind::Damaged) {
        const std::string problem = error->text();
        std::string folder;
        if (const std::optional<storage::StorageError> failure = m_storage.quarantineFiles(folder))
            throw std::runtime_error(fmt::format("{}; moving the folder aside failed: {}", problem, failure->text()));
        m_sink.log(events::kFolderDamaged, { { "problem", problem }, { "moved_to", folder } });
        opened = m_storage.open();
        error = std::get_if<storage::StorageError>(&opened);
    }
    if (error)
        throw std::runtime_error(error->text());
    for (const LogEvent& event : m_storage.takeEvents())
        m_sink.log(event);
    return std::get<control::RecoveredState>(std::move(opened));
}

void ControlRuntime::start()
{
    m_journal = std::make_unique<JournalWriter>(m_storage, m_sink, [this](control::Event event) { post(std::move(event)); });
    m_thread = std::thread([this] { run(); });
}

void ControlRuntime::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
    m_journal.reset();
    const std::lock_guard lock(m_mutex);
    for (const Item& item : std::exchange(m_queue, {})) {
        if (const Submission* submission = std::get_if<Submission>(&item))
            submission->callback(stoppedResult(false));
    }
}

void ControlRuntime::receive(const InstanceName& from, control::PeerMessage message)
{
    post(control::Event { control::PeerMessageReceived { from, std::move(message) } });
}

void ControlRuntime::submit(control::Command command, ResultCallback callback)
{
    post(Submission { std::move(command), std::move(callback) });
}

void ControlRuntime::view(View function)
{
    post(std::move(function));
}

void ControlRuntime::post(Item item)
{
    {
        const std::lock_guard lock(m_mutex);
        m_queue.push_back(std::move(item));
    }
    m_changed.notify_all();
}

void ControlRuntime::run()
{
    handle(control::Recovered { std::move(m_recovered) });
    while (true) {
        std::deque<Item> items = waitForItems();
        if (items.empty() && m_reducer.nextWakeup() > transport::bootTimeNow()) {
            const std::lock_guard lock(m_mutex);
            if (m_stopping && m_queue.empty())
                break;
        }
        for (Item& item : items)
            process(item);
        if (m_reducer.nextWakeup() <= transport::bootTimeNow())
            handle(control::Tick {});
    }
    for (const auto& [token, callback] : std::exchange(m_callbacks, {}))
        callback(stoppedResult(true));
}

std::deque<ControlRuntime::Item> ControlRuntime::waitForItems()
{
    const TimePoint wakeup = m_reducer.nextWakeup();
    std::unique_lock lock(m_mutex);
    const auto awake = [this] { return m_stopping || !m_queue.empty(); };
    if (wakeup == kNever)
        m_changed.wait(lock, awake);
    else
        m_changed.wait_for(lock, wakeup - transport::bootTimeNow(), awake);
    return std::exchange(m_queue, {});
}

void ControlRuntime::process(Item& item)
{
    if (const control::Event* event = std::get_if<control::Event>(&item)) {
        handle(*event);
        return;
    }
    if (const View* view = std::get_if<View>(&item)) {
        (*view)(m_reducer, transport::bootTimeNow());
        return;
    }
    Submission& submission = std::get<Submission>(item);
    const control::RequestToken token { ++m_lastToken };
    m_callbacks.emplace(token.value, std::move(submission.callback));
    // Claims expire by the proposer's clock, regardless of the entry instance's clock.
    if (control::ClaimRequest* claim = std::get_if<control::ClaimRequest>(&submission.command))
        claim->proposedAt = transport::wallClockNow();
    handle(control::CommandSubmitted { token, std::move(submission.command) });
}

void ControlRuntime::handle(const control::Event& event)
{
    for (control::Effect& effect : m_reducer.handle(event, transport::bootTimeNow()))
        execute(effect);
}

void ControlRuntime::execute(control::Effect& effect)
{
    if (const control::SendToPeer* send = std::get_if<control::SendToPeer>(&effect)) {
        m_sendToPeer(send->to, send->message);
    } else if (control::WriteJournal* write = std::get_if<control::WriteJournal>(&effect)) {
        m_journal->write(std::move(*write));
    } else if (const control::Respond* respond = std::get_if<control::Respond>(&effect)) {
        const auto it = m_callbacks.find(respond->token.value);
        if (it == m_callbacks.end())
            return;
        const ResultCallback callback = std::move(it->second);
        m_callbacks.erase(it);
        callback(respond->result);
    } else if (const control::DocumentCommitted* document = std::get_if<control::DocumentCommitted>(&effect)) {
        if (m_onDocument)
            m_onDocument(document->version);
    } else if (std::holds_alternative<control::EvacuationsCommitted>(effect)) {
        if (m_onEvacuations)
            m_onEvacuations();
    } else if (const control::LeaderChanged* change = std::get_if<control::LeaderChanged>(&effect)) {
        if (m_onLeader)
            m_onLeader(*change);
    } else if (const LogEvent* event = std::get_if<LogEvent>(&effect)) {
        m_sink.log(*event);
    }
}

} // namespace curranttrail
