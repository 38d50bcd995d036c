#pragma once

#include "core/request_fingerprint.h"
#include "policy/late_budget.h"
#include "query/directory.h"
#include "query/messages.h"

#include <boost/container/small_vector.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace curranttrail::query {

// Counters of the queries of one class.
struct ClassCounters {
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    std::uint64_t partial = 0;
    std::uint64_t withinTarget = 0;
    std::uint64_t overloaded = 0;
    std::uint64_t refused = 0;
    std::uint64_t subqueries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t lateReplies = 0;
    policy::LateBudget lateBudget;
};

enum class ShardStatus {
    // Queued until one of its servers has capacity.
    Waiting,
    // Waits for the time of its next retry, or for a newer snapshot.
    AwaitingRetry,
    InFlight,
    // Waits until another shard is answered, since the query may end the servers that run it.
    Held,
    Done,
    Missing,
};

// One live attempt of a shard.
struct ShardAttempt {
    AttemptId attempt;
    ServerId server;
    TimePoint sentAt;
};

// One shard of a query's pinned snapshot.
struct ShardState {
    ShardStatus status = ShardStatus::Waiting;
    boost::container::small_vector<ShardAttempt, 3> live;
    // Servers tried so far, in order, and those of them that do not hold the snapshot.
    boost::container::small_vector<ServerId, 3> triedServers;
    boost::container::small_vector<ServerId, 2> withoutSnapshot;
    // Servers in whose queues the shard is.
    boost::container::small_vector<ServerId, 4> queuedAt;
    std::uint32_t retries = 0;
    std::uint32_t hedges = 0;
    bool isOverdue = false;
    // True if something other than the query explains the end of the server that ran the shard.
    bool isEndExplained = false;
    TimePoint readyAt;
    TimePoint retryAt = kNever;
    TimePoint hedgeAt = kNever;
    MissingShardReason missingReason = MissingShardReason::NoServer;
    std::string payload;
};

enum class ClaimState {
    NotNeeded,
    Pending,
    Granted,
};

// A query in flight.
struct QueryState {
    QueryArrived request;
    RequestFingerprint fingerprint;
    // The class as it was when the query was admitted.
    std::shared_ptr<const ClassTarget> classTarget;
    ClassCounters* counters = nullptr;
    std::shared_ptr<const std::string> body;
    Collection* collection = nullptr;
    TimePoint arrivedAt;
    // Times at which the class's target latency and the caller's timeout end, less a margin for sending the answer.
    TimePoint targetAt;
    TimePoint deadline;
    TimePoint timerAt = kNever;
    ClaimState claim = ClaimState::NotNeeded;
    // True once the caller is answered, refused or disconnected. The query remains only until an at-most-once request has ended.
    bool isClosed = false;
    bool wasRestarted = false;
    // True if the late budget permits the query to exceed the target latency in order to be complete.
    bool mayExceedTarget = false;
    // Incremented on each restart. Attempts of an earlier epoch are ignored.
    std::uint32_t planEpoch = 0;

    std::shared_ptr<const SnapshotPlan> plan;
    std::vector<ShardState> shards;
    std::size_t unresolved = 0;
    // Number of shards that are held.
    std::size_t held = 0;

    // Progress of the ended attempts, and number of attempts that have not ended.
    std::vector<AttemptProgress> ended;
    std::size_t openAttempts = 0;

    // Time after a first attempt, and after a hedge, at which the next hedge is sent.
    Micros hedgeDelay { 0 };
    Micros secondHedgeDelay { 0 };
    double waitMicros = 0;
    std::uint32_t waits = 0;
    std::vector<Usage> usage;

    const ClassTarget& target() const { return *classTarget; }
    bool isRepeatable() const { return classTarget->repeatable; }
    Verdict verdict() const
    {
        std::vector<AttemptProgress> all = ended;
        // An attempt handed to the driver may have reached its server.
        all.insert(all.end(), openAttempts, AttemptProgress::BytesSent);
        return verdictOf(all);
    }
};

// An attempt from its sending until its reply or end. It may outlive its query.
struct AttemptState {
    QueryId query;
    std::size_t shard = 0;
    std::uint32_t planEpoch = 0;
    ServerId server;
    ConnectionId connection;
    SnapshotVersion snapshot;
    RequestFingerprint fingerprint;
    // Owns the shard's description after the query has ended.
    std::shared_ptr<const SnapshotPlan> plan;
    Collection* collection = nullptr;
    TimePoint sentAt;
    bool isHedge = false;
    // True if the result is no longer needed. The attempt has not ended yet, but its reply will not be merged.
    bool isAbandoned = false;
    TimePoint abandonedAt;
    std::uint64_t serverRepliesBefore = 0;
    std::shared_ptr<const ClassTarget> classTarget;
    ClassCounters* counters = nullptr;

    const ShardRange& shardRange() const { return plan->shards[shard].shard; }
};

} // namespace curranttrail::query
