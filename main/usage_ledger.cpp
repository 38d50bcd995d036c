#include "main/usage_ledger.h"

#include "main/control_events.h"

#include <utility>

namespace curranttrail {

namespace {

    constexpr std::chrono::milliseconds kRetryDelay { 200 };
    constexpr std::size_t kMaximumQueuedItems = 4'096;
    constexpr std::size_t kMaximumUnwrittenEntries = 65'536;

} // namespace

UsageLedger::UsageLedger(usage::LedgerOptions options, std::unique_ptr<storage::FileSystem> files, transport::EventSink& sink, Sender send)
    : m_sink(sink)
    , m_send(std::move(send))
    , m_ledger(std::move(options))
    , m_journal(std::move(files))
{
    m_journal.recover([this](const usage::LedgerCheckpoint& checkpoint) { m_ledger.restore(checkpoint); },
        [this](const usage::JournalEntry& entry) { m_ledger.replay(entry); });
}

UsageLedger::~UsageLedger()
{
    stop();
}

void UsageLedger::start()
{
    m_thread = std::thread([this] { run(); });
}

void UsageLedger::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void UsageLedger::ship(const std::string& batch, const AcknowledgementCallback& sendAcknowledgement)
{
    std::optional<usage::Batch> decoded = usage::decodeBatch(batch);
    if (!decoded) {
        m_sink.log(events::kMessageRefused, { { "reason", "a batch of usage records is malformed" } });
        sendAcknowledgement({});
        return;
    }
    // Senders resend what is not acknowledged, so a batch may be dropped if the queue is full.
    if (!post(Shipment { std::move(*decoded), sendAcknowledgement }))
        sendAcknowledgement({});
}

void UsageLedger::receive(const InstanceName& from, const std::string& message)
{
    std::optional<usage::LedgerMessage> decoded = usage::decodeLedgerMessage(message);
    if (decoded)
        post(usage::LedgerEvent { usage::LedgerMessageReceived { from, std::move(*decoded) } });
    else
        m_sink.log(events::kMessageRefused, { { "from", from }, { "reason", "a message of a usage ledger is malformed" } });
}

void UsageLedger::view(View function)
{
    post(std::move(function));
}

bool UsageLedger::post(Item item)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_queue.size() >= kMaximumQueuedItems)
            return false;
        m_queue.push_back(std::move(item));
    }
    m_changed.notify_all();
    return true;
}

void UsageLedger::run()
{
    while (true) {
        std::deque<Item> items = waitForItems();
        for (Item& item : items)
            process(item);
        if (m_ledger.nextWakeup() <= transport::monotonicNow())
            handle(usage::LedgerTick {});
        persist();
        const std::lock_guard lock(m_mutex);
        if (m_stopping && m_queue.empty())
            return;
    }
}

std::deque<UsageLedger::Item> UsageLedger::waitForItems()
{
    std::unique_lock lock(m_mutex);
    const std::chrono::steady_clock::time_point retry = std::chrono::steady_clock::now() + kRetryDelay;
    const std::chrono::steady_clock::time_point wakeup = m_unwritten.empty() ? m_ledger.nextWakeup() : std::min<std::chrono::steady_clock::time_point>(retry, m_ledger.nextWakeup());
    m_changed.wait_until(lock, wakeup, [this] { return m_stopping || !m_queue.empty(); });
    return std::exchange(m_queue, {});
}

void UsageLedger::process(Item& item)
{
    if (const usage::LedgerEvent* event = std::get_if<usage::LedgerEvent>(&item)) {
        handle(*event);
        return;
    }
    if (const View* view = std::get_if<View>(&item)) {
        (*view)(m_ledger, m_journal);
        return;
    }
    Shipment& shipment = std::get<Shipment>(item);
    const usage::ChainId chain = shipment.batch.chain;
    // While the disk fails no more batches are accepted, which bounds the memory; the instance resends its records.
    if (m_unwritten.size() >= kMaximumUnwrittenEntries) {
        shipment.sendAcknowledgement({});
        return;
    }
    sendAcknowledgement(chain, {});
    m_acknowledgementCallbacks[usage::nameOf(chain)] = std::move(shipment.sendAcknowledgement);
    handle(usage::BatchReceived { std::move(shipment.batch) });
}

void UsageLedger::handle(const usage::LedgerEvent& event)
{
    for (usage::LedgerEffect& effect : m_ledger.handle(event, transport::monotonicNow()))
        execute(effect);
}

void UsageLedger::execute(usage::LedgerEffect& effect)
{
    if (usage::PersistEntries* write = std::get_if<usage::PersistEntries>(&effect)) {
        m_lastWrite = write->write;
        std::move(write->entries.begin(), write->entries.end(), std::back_inserter(m_unwritten));
    } else if (const usage::Acknowledge* acknowledge = std::get_if<usage::Acknowledge>(&effect)) {
        sendAcknowledgement(acknowledge->acknowledgement.chain, usage::encode(acknowledge->acknowledgement));
    } else if (const usage::SendToLedger* send = std::get_if<usage::SendToLedger>(&effect)) {
        m_send(send->to, usage::encode(send->message));
    } else if (const usage::ReadRecords* read = std::get_if<usage::ReadRecords>(&effect)) {
        post(usage::LedgerEvent { usage::RecordsRead { read->token, m_journal.records(read->chain, read->first, read->last) } });
    } else if (const LogEvent* event = std::get_if<LogEvent>(&effect)) {
        m_sink.log(*event);
    }
}

void UsageLedger::persist()
{
    if (m_unwritten.empty())
        return;
    if (!m_journal.append(m_unwritten)) {
        m_sink.log(events::kUsageStalled, { { "entries", std::to_string(m_unwritten.size()) } });
        return;
    }
    m_unwritten.clear();
    handle(usage::EntriesPersisted { m_lastWrite });
    if (m_unwritten.empty())
        m_journal.rollOver([this] { return m_ledger.checkpoint(); });
}

void UsageLedger::sendAcknowledgement(const usage::ChainId& chain, std::string acknowledgement)
{
    const auto it = m_acknowledgementCallbacks.find(usage::nameOf(chain));
    if (it == m_acknowledgementCallbacks.end())
        return;
    const AcknowledgementCallback sendAcknowledgement = std::move(it->second);
    m_acknowledgementCallbacks.erase(it);
    sendAcknowledgement(std::move(acknowledgement));
}

} // namespace curranttrail
