#pragma once

#include "core/random.h"
#include "core/verdict.h"
#include "policy/account_admission.h"
#include "policy/additional_attempt_budget.h"
#include "policy/crash_table.h"
#include "policy/key_lease.h"
#include "policy/latency_quantiles.h"
#include "policy/quota_credits.h"
#include "policy/relay_table.h"
#include "policy/server_reach.h"
#include "policy/slot_schedule.h"
#include "policy/trial_turns.h"
#include "routing/messages.h"
#include "routing/record_merge.h"
#include "routing/route_document.h"
#include "routing/server_table.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace curranttrail::routing {

struct RouterOptions {
    InstanceName name;
    DataCentreName dataCentre;
    std::uint64_t seed = 0;
    // Limits on the additional attempts that all instances together may send to one collection.
    policy::AdditionalAttemptLimits additionalAttempts;
    // Time after which a withdrawn key is admitted by no instance. Without a value, an instance that is cut off admits the keys that it
    // knows.
    std::optional<Micros> keyRevocationLimit {};
};

// Totals since the start, exported as metrics.
struct RouterCounters {
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    std::uint64_t late = 0;
    std::uint64_t partial = 0;
    std::uint64_t abandoned = 0;
    std::array<std::uint64_t, kRefusalReasonNames.size()> refused {};
    std::uint64_t attempts = 0;
    // The attempts by their reason: at servers of this instance's data centre, and at servers elsewhere.
    std::array<std::uint64_t, kAttemptReasonNames.size()> attemptsAtHome {};
    std::array<std::uint64_t, kAttemptReasonNames.size()> attemptsElsewhere {};
    // Hedges and retries that were started, and those that the shared budget did not allow.
    std::uint64_t additionalAttempts = 0;
    std::uint64_t additionalAttemptsDenied = 0;
    std::uint64_t attemptsFailed = 0;
    std::uint64_t connectionsOpened = 0;
    // Parts of requests that a limit named by a server kept from being sent to it. They went to another server or were not sent.
    std::uint64_t heldBack = 0;
    // Number of servers that name a limit at present.
    std::size_t limitedServers = 0;
    // Servers that slow down before their slots are full, and servers that are slower than others.
    std::size_t narrowServers = 0;
    std::size_t slowServers = 0;
    // Number of cold servers whose requests are limited, and the requests a second that this instance may send to all of them.
    std::size_t coldServers = 0;
    double coldRequestsPerSecond = 0;
    // Servers that ended while this instance's requests ran on them.
    std::uint64_t serversEnded = 0;
    // Connections that were opened through other instances.
    std::uint64_t connectionsRelayed = 0;
};

// Routes raw requests to backend servers: to one server, or to one server of each shard with a merge of the shard replies.
// A request uses the document version that was current on its arrival until it ends.
class Router {
public:
    explicit Router(RouterOptions options);

    std::vector<Effect> handle(const Event& event, TimePoint now);
    TimePoint nextWakeup() const;

    bool hasDocument() const { return m_table != nullptr; }
    std::uint64_t documentVersion() const { return m_table ? m_table->document().version : 0; }
    // Returns whether requests need the key of a client account.
    bool hasAccounts() const { return m_table && m_table->hasAccounts(); }
    // Returns null if no account has the key.
    const ClientAccount* findAccount(const std::optional<KeyDigest>& key) const { return m_table && key ? m_table->findAccount(*key) : nullptr; }
    const policy::QuotaCredits& quotas() const { return m_quotas; }
    // Returns the part of the demand for which the servers have room, from 0 to 1, where they have least. 1 without client accounts.
    double leastRoom() const;
    std::size_t requestsInFlight() const { return m_requests.size(); }
    const RouterCounters& counters() const { return m_counters; }
    const ServerTable& servers() const { return m_servers; }
    // Returns whether a server at the address is in an evacuated data centre.
    bool isEvacuated(const std::string& address) const;
    // Number of sent attempts that servers of evacuated data centres have not answered.
    std::size_t attemptsToEvacuated() const;
    // The requests under which servers ended, to be shared with the other instances.
    const policy::CrashTable& crashes() const { return m_crashes; }
    // Returns whether this instance may open a connection to the address for another one: it is that of a server, which is reached.
    bool canRelayTo(const std::string& address) const;

private:
    enum class PartState {
        Open,
        // Not sent before another part of a request that may end servers has been answered.
        Held,
        Done,
        Failed,
    };

    // The part of a request that goes to one collection. A scattered request has one part for each shard.
    struct Part {
        CollectionName collection;
        PartState state = PartState::Open;
        std::vector<const Server*> tried;
        // Attempts that wait for a connection or for a reply.
        std::uint32_t inFlight = 0;
        // Attempts that were sent.
        std::uint32_t sent = 0;
        // Sent attempts that are not known to have been refused before any work.
        std::uint32_t mayHaveRun = 0;
        // Lost attempts of which it is not known yet whether their servers ended.
        std::uint32_t checks = 0;
        // True if the server that ran the part ended, until it is decided whether the part is repeated.
        bool hasServerEnded = false;
        // True if something else explains the end of a server that ran the part.
        bool mayRepeatAfterEnd = false;
        std::string stamp;
    };

    // Observed durations of requests that take about the same time: those with the same latency objective and kind of target.
    struct LatencyProfile {
        // Position in the order of creation.
        std::size_t index = 0;
        Micros latencyObjective { 0 };
        policy::LatencyQuantiles durations;
        Micros hedgeDelay { 0 };
        std::uint32_t samplesUntilRefresh = 0;
    };

    struct Request {
        std::string id;
        RequestFingerprint fingerprint;
        // Owns the document of the route.
        std::shared_ptr<const RouteTable> table;
        const Route* route = nullptr;
        // The client account on whose behalf the request is made, if any.
        const ClientAccount* account = nullptr;
        // Lower values are more urgent.
        std::uint32_t priority = 0;
        // The admission on the account's quota, if it has one.
        std::optional<policy::QuotaHold> quota;
        LatencyProfile* profile = nullptr;
        TimePoint arrivedAt;
        // From this time on, an answer with sufficient coverage does not wait for more parts.
        TimePoint softDeadline;
        TimePoint hardDeadline;
        // Time at which unanswered parts are hedged; kNever once that has been done.
        TimePoint hedgeAt = kNever;
        // Time of the next scheduled evaluation.
        TimePoint evaluateAt;
        std::vector<Part> parts;
        std::size_t done = 0;
        std::size_t failed = 0;
        std::vector<AttemptId> attempts;
        std::vector<AttemptProgress> progress;
        std::optional<RecordMerge> merge;
        // The latest error reply of a server, forwarded if no attempt succeeds.
        std::optional<ServerReply> failure;
        // Servers that ended while the request ran on them, without another explanation.
        std::size_t serversEnded = 0;
        // Number of hedges and retries that were started.
        std::uint32_t additionalAttempts = 0;
        bool denialLogged = false;
        // Number of parts that were not sent because of the limits that servers name.
        std::size_t limited = 0;
        // True if a part was not sent because this process ends before an answer is expected.
        bool isOutOfTime = false;
        // True if the deadline is the end of this process.
        bool endsWithProcess = false;
    };

    // On whose behalf a request is made, or why it is refused because of its key.
    struct Identification {
        const ClientAccount* account = nullptr;
        std::optional<RefusalReason> refusal;
    };

    struct Attempt {
        RequestKey request;
        RequestFingerprint fingerprint;
        std::size_t part = 0;
        Server* server = nullptr;
        std::optional<ConnectionId> connection;
        TimePoint sentAt;
        bool isAbandoned = false;
        // True if the attempt took a token of the server's limit.
        bool holdsToken = false;
        // True if it took one of the limit of the server's cold start.
        bool holdsColdToken = false;
        std::uint32_t priority = 0;
        // Number of requests that the server held as far as this instance knew when the attempt was sent, this one included.
        std::uint32_t inFlight = 1;
        LatencyProfile* profile = nullptr;
        AttemptReason reason = AttemptReason::First;
    };

    struct Connection {
        Server* server = nullptr;
        bool isOpen = false;
        std::optional<AttemptId> attempt;
        // Time at which the connection was requested, opened or last became idle.
        TimePoint stateChangedAt;
        // True once an attempt was sent on the connection.
        bool wasUsed = false;
        // The entry instance through which the connection leads. Empty if it is direct.
        InstanceName relay {};
        // True for a connection that is opened to find out whether servers are reached directly.
        bool isProbe = false;
    };

    struct ScheduledEvaluation {
        TimePoint at;
        RequestKey request;
        bool operator>(const ScheduledEvaluation& other) const { return at > other.at; }
    };

    // A new connection that is not used yet because the server may be about to reset it.
    struct ConnectionOnProbation {
        TimePoint until;
        ConnectionId connection;
    };

    struct AbandonedAttempt {
        TimePoint at;
        AttemptId attempt;
    };

    // An attempt whose connection was lost before its reply.
    struct LostAttempt {
        RequestKey request;
        std::size_t part = 0;
        RequestFingerprint fingerprint;
        bool wasAbandoned = false;
        std::string reason;
    };

    // The check whether a server has ended.
    struct EndCheck {
        Server* server = nullptr;
        TimePoint lostAt;
        // True once a connection to the server could not be opened.
        bool isRefused = false;
        // The connection that is opened to another server beside it.
        std::optional<ConnectionId> probe;
        std::vector<LostAttempt> attempts;
    };

    enum class EndVerdict {
        Running,
        Ended,
        // The server cannot be reached, nor can others beside it.
        Unknown,
    };

    // router.cpp: events and timers
    void on(const RequestArrived& event);
    void on(const CallerDisconnected& event);
    void on(const AttemptReplied& event);
    void on(const AttemptConnectionLost& event);
    void on(const RouteDocumentUpdated& event);
    void on(const ServerListReceived& event);
    void on(const ServerListDeltaReceived& event);
    void on(const ServersLeaving& event);
    void on(const ControlContacted& event);
    void on(const CrashRecordsReceived& event);
    void applyServerChanges(const ServerTable::Changes& changes, Micros age);
    // Stops the use of a server for new work: what waits for it goes to other servers.
    void withdraw(Server& server);
    void logNewServers(const ServerTable::Changes& changes, Micros age);
    void on(const EntryInstancesChanged& event);
    void on(const RelaysChanged& event);
    void on(const StopScheduled& event);
    void on(const Tick&) { }
    void runTimers();
    void sweep();
    void updateQuotasAndBudgets();
    void log(const EventDescription& description, std::vector<EventField> fields);
    // Returns whether control has confirmed lately that no newer document is in force.
    bool isDocumentConfirmed() const;
    void appendControlState(std::vector<EventField>& fields) const;
    LatencyProfile& latencyProfileOf(const Route& route);
    std::vector<CollectionName> collectionsOf(const Route& route);
    const CollectionName& chooseSplitCollection(const Route& route, const SplitTarget& split);

    // router_accounts.cpp: client accounts
    void on(const ProcessSuspended& event);
    Identification identify(const RequestArrived& event, const Route& route) const;
    // Returns whether the keys in the document have not been withdrawn for longer than the revocation limit.
    bool areKeysConfirmed() const { return !m_keyLease || m_keyLease->isValid(m_now + m_suspended); }
    void logKeyLease(const EventDescription& description);
    void refuseUnidentified(const RequestArrived& event, RefusalReason reason);
    static std::uint32_t priorityOf(const Route& route, const ClientAccount* account);

    // router_quotas.cpp: quotas of client accounts
    void on(const QuotasReplied& event);
    void on(const LimitedAccountsReceived& event) { m_quotas.onLimited(event.accounts, m_now); }
    bool admitByQuota(const RequestArrived& event, const ClientAccount* account, std::optional<policy::QuotaHold>& hold);
    Micros retryAfterQuota(policy::AccountId id);
    void giveBackQuota(const Request& request);
    void reportQuotas();

    // router_admission.cpp: which accounts are served while there is too little room
    void updateAdmissions();
    // Returns the admission to the servers of a collection, or null if the document names no accounts.
    policy::AccountAdmission* admissionTo(const CollectionName& collection);
    // Returns the Retry-After if a request is refused because its account asks for more than its share.
    std::optional<Micros> delayOverShare(const Route& route, const ClientAccount* account);
    void recordLoad(const Server& server);
    void recordAdmittedEnd(const Request& request);

    // router_connections.cpp: connections and whether servers can be reached
    void on(const ConnectionOpened& event);
    void on(const ConnectionLost& event);
    ConnectionId openConnection(Server& server);
    ConnectionId openConnection(Server& server, const policy::Relay* relay);
    void addIdleConnection(ConnectionId id);
    void endProbations();
    void noteRejection(const Attempt& attempt);
    void setUnverified(Server& server, bool isUnverified, std::string_view reason);
    void warmConnections();
    void closeLateConnections();
    void closeSharedIdleConnections();
    void closeConnectionsBeyondPlan();
    void closeSilentConnection(const Attempt& attempt);
    void closeConnection(ConnectionId id);
    void dropConnection(ConnectionId id);
    void failWaiting(Server& server);

    // router_attempts.cpp: attempts
    bool startAttempt(RequestKey key, Request& request, std::size_t index);
    void send(AttemptId id, Attempt& attempt, ConnectionId connection);
    void dispatchWaiting(Server& server);
    void abandonAttempt(AttemptId id, bool closeAtOnce);
    void recordDuration(const Attempt& attempt, bool hasReportedLoad);
    void recordAbandonedAttempt(const Attempt& attempt);
    void recordServerFailure(Server& server, std::string_view reason);
    void acceptPart(RequestKey key, Request& request, Part& part, ServerReply reply);
    void attemptFailed(RequestKey key, std::size_t index, const Server* server, AttemptProgress progress, std::string_view reason);
    void recordFailedAttempt(Request& request, std::size_t index, const Server* server, AttemptProgress progress, std::string_view reason);
    void repeatOrFail(RequestKey key, Request& request, std::size_t index, std::string_view reason);
    bool sendAdditionalAttempt(RequestKey key, Request& request, std::size_t index, std::string_view reason);
    void reassignWaiting(RequestKey key, Request& request, std::size_t index);
    policy::AdditionalAttemptBudget& budgetOf(const CollectionName& collection);

    // router_crashes.cpp: requests that end the servers that run them
    void checkForEnd(Server& server, LostAttempt lost);
    std::optional<ConnectionId> probeDataCentre(const Server& ended);
    bool canProbe(const Server& server) const;
    bool reachesDataCentreOf(const Server& ended, TimePoint since) const;
    void finishEndChecks();
    TimePoint nextEndCheck() const;
    void finishEndCheck(Server& server, EndVerdict verdict);
    void continueLostAttempt(const LostAttempt& lost, EndVerdict verdict, bool isExplained);
    void holdParts(Request& request);
    void sendHeldParts(RequestKey key, Request& request, std::size_t maximum);
    void failHeldParts(Request& request);
    bool isSuspect(const Request& request) const;
    // Decides what becomes of the parts whose servers ended. The request goes on; the caller evaluates it.
    void judgeEndedParts(RequestKey key, Request& request);
    bool mayRunAgain(const Request& request, const Part& part) const;
    bool isEndPossible(const Request& request) const;
    Micros trialDelay(const RequestFingerprint& fingerprint);
    void recordEnd(const RequestFingerprint& fingerprint, const policy::ServerEnd& end);
    void recordAnswer(const RequestFingerprint& fingerprint, const CollectionName& collection);
    void logStanding(const RequestFingerprint& fingerprint, policy::RequestStanding before);

    // router_relays.cpp: connections through other instances
    // Returns whether connections are opened through other instances.
    bool isRelaying() const { return m_reach.isCutOff() || m_openings.isCutOff(); }
    void recordReached(bool hasOpened);
    void recordNotOpened(const Server& server);
    void checkReach();
    void logUnreachable();
    void beginRelaying();
    void probeDirectly();
    bool hasRelayLeft(const Connection& connection) const;
    void relayFailed(const Connection& connection, std::string_view reason);

    // router_evacuations.cpp: data centres whose servers get no requests
    void on(const EvacuationsChanged& event);
    void endEvacuations();

    // router_stop.cpp: the end of this process
    bool isStopping() const { return m_endsAt != kNever; }
    TimePoint lastAnswerAt() const;
    void limitToStop(Request& request) const;
    Micros expectedDuration(const Server& server, const LatencyProfile& profile) const;
    policy::SlotSchedule scheduleOf(const Server& server) const;
    Micros timeUntilAnswer(const Server& server, const LatencyProfile& profile) const;
    bool endsBeforeAnswer(const Server& server, const LatencyProfile& profile) const;
    bool endsBeforeAnswer(const CollectionName& collection, const LatencyProfile& profile) const;
    bool maySendNext(const Server& server) const;
    bool isTooLateToSend(const Server& server, const Attempt& attempt) const;
    void failLateWaiting();
    std::vector<AttemptId> lateWaiting(const Server& server) const;
    Micros retryAfterStop();

    // router_limits.cpp: limits that servers name
    void updateLimit(Server& server, const Attempt& attempt, const std::optional<NamedLimit>& named);
    void updateRest(Server& server, const std::optional<NamedRest>& named);
    void updateColdStarts();
    void logColdStarts(const EventDescription& description, const std::vector<Server*>& servers);
    void recordColdTime(Server& server, Micros remaining);

    // router_capacity.cpp: what servers take well
    void recordCapacity(const Attempt& attempt, bool hasReportedLoad, double ratio);
    void reviewCapacities();
    void logCapacity(Server& server, const policy::CapacityEstimate& capacity);
    void logRest(const EventDescription& description, Server& server, Micros duration);
    void logLimit(const EventDescription& description, Server& server, bool isRepeated);
    void recordHeldBack(const Request& request);
    void releaseToken(const Attempt& attempt);
    Micros retryAfterLimit(const Request& request);

    // router_requests.cpp: evaluation, answers and refusals of requests
    void evaluate(RequestKey key);
    bool mayPassOn(const Request& request, const ServerReply& failure) const;
    void scheduleHedge(Request& request);
    TimePoint hedgeDueAt(const Request& request, const Attempt& attempt, Micros delay) const;
    void hedge(RequestKey key, Request& request);
    TimePoint nextEvaluation(const Request& request) const;
    bool coversEnough(const Request& request, std::size_t parts) const;
    bool isScatter(const Request& request) const { return request.merge.has_value(); }
    Micros recordAnswer(const Request& request);
    void answerMerged(RequestKey key, Request& request);
    void answerReply(RequestKey key, Request& request, ServerReply reply);
    std::vector<AttemptId> liveAttempts(const Request& request) const;
    static AttemptProgress progressOf(const Attempt& attempt);
    std::string describeLiveAttempts(const Request& request) const;
    void refuse(RequestKey key, RefusalReason reason);
    void refuseUnrouted(const RequestArrived& event, RefusalReason reason, std::optional<Micros> retryAfter, std::string_view account = {});
    void end(RequestKey key, bool closeAtOnce);
    Verdict verdictOf(const Request& request) const;
    Micros randomRetryAfter();
    // Returns the Retry-After of a request that this instance cannot judge before control has replied.
    Micros retryAfterControl();
    // Returns the Retry-After of a routed request that has not run.
    Micros retryAfter(const Request& request, RefusalReason reason);
    Micros randomDelay(Micros minimum, Micros maximum);
    void recordLag(Micros lag);
    // Returns the time that this process needs to hand over an answer once it is decided.
    Micros processingTime() const;

    const RouterOptions m_options;
    Random m_random;
    TimePoint m_now;
    std::vector<Effect> m_effects;
    std::shared_ptr<const RouteTable> m_table;
    std::optional<TimePoint> m_documentAppliedAt;
    // Time of the latest reply of a control leader.
    std::optional<TimePoint> m_controlContactAt;
    std::optional<policy::KeyLease> m_keyLease;
    // Admission to the servers of the collections that are used together, by the first of them, and the first one of each collection.
    std::map<CollectionName, policy::AccountAdmission> m_admissions;
    std::map<CollectionName, CollectionName> m_admissionGroups;
    // True while requests are refused because their keys are not confirmed.
    bool m_refusesKeys = false;
    // Total time in which the machine was suspended.
    Micros m_suspended { 0 };
    ServerTable m_servers;
    std::uint64_t m_serverListRevision = 0;
    std::unordered_map<RequestKey, Request> m_requests;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    std::unordered_map<ConnectionId, Connection> m_connections;
    std::map<CollectionName, policy::AdditionalAttemptBudget> m_budgets;
    std::map<std::pair<std::int64_t, std::size_t>, LatencyProfile> m_latencyProfiles;
    // Weighted round-robin credits of the collections of each split, by route.
    std::map<std::string, std::vector<double>> m_splitCredit;
    std::priority_queue<ScheduledEvaluation, std::vector<ScheduledEvaluation>, std::greater<>> m_scheduledEvaluations;
    std::deque<AbandonedAttempt> m_abandonedAttempts;
    std::deque<ConnectionOnProbation> m_connectionsOnProbation;
    policy::CrashTable m_crashes;
    policy::TrialTurns m_trialTurns;
    policy::QuotaCredits m_quotas;
    // Whether servers reply on connections without a relay or accept such connections, and whether they accept them.
    policy::ServerReach m_reach;
    policy::ServerReach m_openings;
    policy::RelayTable m_relays;
    TimePoint m_nextProbe;
    // By the instance of the server.
    std::map<std::string, EndCheck> m_endChecks;
    // Start of the latest exchange with a server of each data centre that succeeded.
    std::map<DataCentreName, TimePoint> m_reachedAt;
    TimePoint m_nextSweep;
    TimePoint m_nextCapacityReview;
    // Time at which this process ends; kNever while no stop was requested.
    TimePoint m_endsAt = kNever;
    // Recent delay of this process's timers; follows increases quickly and decreases slowly.
    Micros m_lag { 0 };
    std::uint64_t m_lastAttempt = 0;
    std::uint64_t m_lastConnection = 0;
    RouterCounters m_counters;
};

} // namespace curranttrail::routing
