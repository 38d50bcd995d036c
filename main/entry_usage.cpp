#include "main/entry_usage.h"

#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>

namespace curranttrail {

namespace {

    usage::PrivateKey readSigningKey(const std::string& path)
    {
        std::ifstream in(path);
        std::ostringstream content;
        content << in.rdbuf();
        std::optional<usage::PrivateKey> key = usage::PrivateKey::fromPem(content.str());
        if (!in || !key)
            throw std::runtime_error(path + ": expected an Ed25519 private key in PEM");
        return *key;
    }

} // namespace

EntryUsage::EntryUsage(const EntrySettings& settings, std::uint64_t incarnation, transport::EventSink& sink, ReducerThread& reducers, EntryControl& control)
    : m_sink(sink)
    , m_reducers(reducers)
    , m_control(control)
    , m_recorder(optionsOf(settings, incarnation))
{
    m_reducers.addWakeup([this] { return m_recorder.nextWakeup(); },
        [this](TimePoint now) { handle(usage::RecorderTick { transport::wallClockNow() }, now); });
}

usage::RecorderOptions EntryUsage::optionsOf(const EntrySettings& settings, std::uint64_t incarnation)
{
    std::set<OwnerName> owners { settings.owner };
    for (const PartnerInstance& instance : settings.control)
        owners.insert(instance.owner);
    return { settings.name, incarnation, readSigningKey(settings.usageKeyFile), { owners.begin(), owners.end() } };
}

void EntryUsage::record(const query::RecordUsage& effect, TimePoint now)
{
    const query::Usage& use = effect.usage;
    handle(usage::UsageObserved { { use.causedBy, use.servedBy, use.className }, { use.subqueries, use.serverMicros, use.bytes }, transport::wallClockNow() }, now);
}

void EntryUsage::stop(TimePoint now)
{
    handle(usage::StopRequested { transport::wallClockNow() }, now);
}

void EntryUsage::handle(const usage::RecorderEvent& event, TimePoint now)
{
    for (const usage::RecorderEffect& effect : m_recorder.handle(event, now)) {
        if (const auto* send = std::get_if<usage::SendBatch>(&effect))
            ship(*send);
        else if (std::holds_alternative<usage::RecorderStopped>(effect))
            m_stopped = true;
        else
            m_sink.log(std::get<LogEvent>(effect));
    }
}

void EntryUsage::ship(const usage::SendBatch& send)
{
    m_control.shipUsage(send.ledger, usage::encode(send.batch), [this, ledger = send.ledger](const std::string& reply) {
        const std::optional<usage::Acknowledgement> acknowledgement = usage::decodeAcknowledgement(reply);
        if (acknowledgement)
            m_reducers.post([this, ledger, acknowledgement = *acknowledgement](TimePoint now) { handle(usage::Acknowledged { ledger, acknowledgement }, now); });
    });
}

} // namespace curranttrail
