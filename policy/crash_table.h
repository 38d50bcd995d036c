#pragma once

#include "core/enum_names.h"
#include "core/ids.h"
#include "core/request_fingerprint.h"
#include "core/units.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace curranttrail::policy {

// The end of a server process while a request ran on it.
struct ServerEnd {
    // Incarnation of the server.
    std::string server;
    CollectionName collection;
    // Instance that had sent the request to the server.
    InstanceName reporter;
    TimePoint at;
    // True once the request has been answered since, by a server of any collection and by one of this collection.
    bool answeredSince = false;
    bool collectionAnsweredSince = false;
};

// The servers that ended while one request, with its repetitions, ran on them.
struct CrashRecord {
    RequestFingerprint request;
    std::vector<ServerEnd> ends;
    TimePoint lastArrival;
    // Order of the changes of one table.
    std::uint64_t revision = 0;
};

enum class RequestStanding {
    Clear,
    // Servers ended while the request ran on them, and it has not been answered since.
    Suspect,
    // So many servers ended under the request that it is not sent to another one.
    Blocked,
};

inline constexpr std::array<EnumName<RequestStanding>, 3> kRequestStandingNames { {
    { RequestStanding::Clear, "clear" },
    { RequestStanding::Suspect, "suspect" },
    { RequestStanding::Blocked, "blocked" },
} };

// Which requests end the servers that run them. Most requests in flight on a server that ends are innocent: they are answered by other
// servers, which clears them. Tables of several instances are merged in any order; merging a record twice changes nothing.
class CrashTable {
public:
    // Number of servers that end under a request, one after the other, before it is blocked. Those that end at the same moment, such as
    // the servers of a rack or of the shards of one request, count once together.
    static constexpr std::size_t kBlockingEnds = 3;

    void recordEnd(const RequestFingerprint& request, const ServerEnd& end);
    // A server of the collection has answered the request, with success or with an error of its own.
    void recordAnswer(const RequestFingerprint& request, const CollectionName& collection, TimePoint now);
    // A blocked request arrived again, which prolongs its block.
    void recordArrival(const RequestFingerprint& request, TimePoint now);
    // Clears the request as if it had been answered. Returns false if it is not known.
    bool release(const RequestFingerprint& request);
    // Takes over what another table knows. Returns whether this changed anything.
    bool merge(const CrashRecord& record, TimePoint now);
    // Forgets records that have expired.
    void expire(TimePoint now);

    RequestStanding standing(const RequestFingerprint& request) const;
    // Returns whether servers of the collection ended under the request and none of them has answered it since.
    bool isSuspectIn(const RequestFingerprint& request, const CollectionName& collection) const;
    // Returns whether so many servers ended that the request would be blocked, had they not ended at the same moment.
    bool needsTrial(const RequestFingerprint& request) const;
    bool wasAnsweredRecently(const RequestFingerprint& request, TimePoint now) const;
    const CrashRecord* find(const RequestFingerprint& request) const;
    bool empty() const { return m_records.empty(); }
    std::size_t size() const { return m_records.size(); }
    std::vector<CrashRecord> records() const;

    // Increases with each change.
    std::uint64_t revision() const { return m_revision; }
    // Returns the records that changed after a revision, in the order of their changes and at most the given number.
    std::vector<CrashRecord> changesSince(std::uint64_t revision, std::size_t maximum) const;
    // Returns records that hold something the other table does not know, at most the given number.
    std::vector<CrashRecord> missingFrom(const CrashTable& other, std::size_t maximum) const;

private:
    struct Answer {
        RequestFingerprint request;
        CollectionName collection;
        TimePoint at;
    };

    CrashRecord& recordOf(const RequestFingerprint& request, TimePoint now);
    void touch(CrashRecord& record) { record.revision = ++m_revision; }
    static bool addEnd(CrashRecord& record, const ServerEnd& end);
    static bool clear(CrashRecord& record, const CollectionName& collection, TimePoint at);
    bool applyRecentAnswers(CrashRecord& record) const;
    void evict();

    std::map<RequestFingerprint, CrashRecord> m_records;
    // Answers of the last seconds, oldest first: an instance may hear of an end only after it has got an answer that clears it.
    std::deque<Answer> m_answers;
    // Latest answer of each request in m_answers.
    std::unordered_map<RequestFingerprint, TimePoint> m_lastAnswers;
    std::uint64_t m_revision = 0;
};

RequestStanding standingOf(const CrashRecord& record);

} // namespace curranttrail::policy
