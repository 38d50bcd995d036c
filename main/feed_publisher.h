#pragma once

#include "control/control_reducer.h"
#include "control/crash_exchange.h"
#include "control/feed.h"
#include "control/server_list_history.h"
#include "main/control_runtime.h"
#include "transport/event_sink.h"
#include "transport/frame_link.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace curranttrail {

// Answers the watch requests (long polls) of entry instances: at once if the document or the server list has changed or another
// instance leads, else when that happens or after a maximum wait. Functions run on the event loop's thread
// unless stated otherwise.
class FeedPublisher {
public:
    // Returns the client accounts that are at their limits, or nothing if there are no quotas.
    using LimitedAccounts = std::function<std::optional<std::vector<policy::AccountId>>()>;

    FeedPublisher(transport::EventLoop& loop, ControlRuntime& runtime, transport::EventSink& sink, LimitedAccounts limitedAccounts);

    void watch(control::WatchRequest request, transport::FrameResponder respond);
    // Publishes a complete server list: as the leader all of it, without a leader the servers that leave. Returns false if it may be older than a list that another leader has published.
    bool setServers(routing::ServerList servers, TimePoint fetchStartedAt);
    // Answers all pending watch requests after a document or an evacuation has been committed. May be called from any thread.
    void committedStateChanged();
    // Answers all pending watch requests after an account reached its limit.
    void limitsChanged() { replyToAll(); }
    // Re-evaluates all pending watch requests after a change of leader. May be called from any thread.
    void leaderChanged(const control::LeaderChanged& change);
    // Answers the watch requests whose maximum wait has passed, and those that lack crash records.
    void tick();
    const routing::ServerList& servers() const { return m_history.servers(); }
    // The requests under which servers ended.
    const policy::CrashTable& crashes() const { return m_crashes.table(); }
    // Lets a blocked request run again. Returns false if it is not known.
    bool release(const RequestFingerprint& request) { return m_crashes.release(request); }

private:
    struct PendingWatch {
        control::WatchRequest request;
        transport::FrameResponder respond;
        TimePoint waitStartedAt;
        // True if no leader was known when the wait began.
        bool withoutLeader = false;
    };

    void replyOrWait(PendingWatch pending, bool mayWait);
    void replyToAll();
    // What a reply takes from the committed state.
    struct CommittedState {
        control::CommittedDocument document;
        std::set<DataCentreName> evacuatedDataCentres;
    };

    void reply(const PendingWatch& pending, const control::ReplicaStatus& status, const CommittedState& committed);
    void updateEntryInstances(TimePoint now);

    transport::EventLoop& m_loop;
    ControlRuntime& m_runtime;
    transport::EventSink& m_sink;
    const LimitedAccounts m_limitedAccounts;
    std::vector<PendingWatch> m_pendingWatches;
    struct WatchingInstance {
        control::EntryInstance instance;
        TimePoint lastWatch;
    };
    std::map<InstanceName, WatchingInstance> m_watchingInstances;
    control::ServerListHistory m_history;
    control::CrashBoard m_crashes;
    TimePoint m_crashesPublishedAt;
    // The entry instances in the last reply and the version of that list.
    std::vector<control::EntryInstance> m_entryInstances;
    control::ListVersion m_entryListVersion;
    // Time at which the fetch of the current server list began.
    TimePoint m_serverListTime;
};

} // namespace curranttrail
