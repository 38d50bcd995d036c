#pragma once

#include "core/request_fingerprint.h"
#include "query/connection_pool.h"

#include <map>
#include <optional>
#include <vector>

namespace curranttrail::query {

// An attempt whose connection was lost before its reply.
struct LostAttempt {
    AttemptId attempt;
    AttemptProgress progress = AttemptProgress::Unknown;
    RequestFingerprint request;
};

// Finds out whether a server has ended whose connection was lost under an attempt: it takes no connection while others beside it do. A cut
// that resets connections looks like the end of all servers behind it.
class EndChecks {
public:
    EndChecks(ReducerContext& context, Directory& directory, ConnectionPool& pool);

    void begin(Server& server, LostAttempt lost);
    bool isPending(AttemptId attempt) const;

    struct Result {
        ServerId server;
        TimePoint lostAt;
        bool hasEnded = false;
        std::vector<LostAttempt> attempts;
    };
    // Returns the checks that are finished, and goes on with the others.
    std::vector<Result> takeFinished();
    TimePoint nextWakeup() const;

private:
    struct Check {
        TimePoint lostAt;
        std::vector<LostAttempt> attempts;
        // The server to which a connection is opened beside it.
        std::optional<ServerId> probed;
    };

    enum class State {
        Pending,
        Running,
        Ended,
        // The server cannot be reached, nor can others beside it.
        Unknown,
    };

    bool mayContinue(const Server& server, Check& check);
    State stateOf(const Server& server, const Check& check) const;
    bool isNeighbour(const Server& server, const Server& ended) const;
    std::optional<ServerId> probeBeside(const Server& ended);

    ReducerContext& m_context;
    Directory& m_directory;
    ConnectionPool& m_pool;
    std::map<ServerId, Check> m_checks;
};

} // namespace curranttrail::query
