#pragma once

#include "control/messages.h"
#include "main/control_runtime.h"
#include "policy/quota_ledger.h"
#include "routing/route_document.h"
#include "transport/event_sink.h"
#include "transport/frame_link.h"
#include "transport/metrics.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace curranttrail {

// Answers entry instances' reports of quotas while this control instance leads with a valid lease. Functions run on the event loop's thread
// unless stated otherwise.
class QuotaPublisher {
public:
    // The callback is called when an account has reached its limit or is no longer at it.
    QuotaPublisher(transport::EventLoop& loop, ControlRuntime& runtime, transport::EventSink& sink, std::function<void()> limitsChanged);

    // Answers with an empty body if this instance does not lead.
    void report(policy::QuotaReport report, transport::FrameResponder respond);
    // Reads the quotas of a newly committed document. May be called from any thread.
    void documentChanged();
    // Begins with empty buckets as a new leader. May be called from any thread.
    void leaderChanged(const control::LeaderChanged& change);
    void tick(transport::Metrics& metrics);
    // Returns the accounts that are at their limits, or nothing if there are no quotas.
    std::optional<std::vector<policy::AccountId>> limited() const;

private:
    void publishLimits();
    void load();
    void apply(const control::CommittedDocument& document);
    void logLimits();
    void log(const EventDescription& description, policy::AccountId id);

    transport::EventLoop& m_loop;
    ControlRuntime& m_runtime;
    transport::EventSink& m_sink;
    const std::function<void()> m_limitsChanged;
    policy::QuotaLedger m_ledger;
    // The term in which this instance leads; 0 if it does not.
    std::uint64_t m_term = 0;
    std::uint64_t m_documentVersion = 0;
    std::map<policy::AccountId, routing::ClientAccount> m_accounts;
    std::uint64_t m_limitRevision = 0;
    // The accounts logged as limited, with the time at which each was last at its limit.
    std::map<policy::AccountId, TimePoint> m_loggedLimits;
};

} // namespace curranttrail
