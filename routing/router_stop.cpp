#include "routing/router.h"

#include "policy/slot_schedule.h"
#include "routing/events.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace curranttrail::routing {

namespace {
    // The slowest of the usual durations stands for those that were not observed lately.
    constexpr double kSlowQuantile = 0.99;
    // Range of the Retry-After of a request that another instance can serve at once.
    constexpr Micros kMinimumRetryAfterStop { 5'000 };
    constexpr Micros kMaximumRetryAfterStop { 60'000 };
} // namespace

void Router::on(const StopScheduled& event)
{
    if (isStopping())
        return;
    m_endsAt = event.endsAt;
    log(events::kStopScheduled, { { "requests", fmt::to_string(m_requests.size()) }, { "ends_in_us", fmt::to_string((m_endsAt - m_now).count()) } });
    std::vector<RequestKey> keys;
    for (auto& [key, request] : m_requests) {
        limitToStop(request);
        keys.push_back(key);
    }
    for (const RequestKey key : keys)
        evaluate(key);
}

// Answers that are decided later may not reach the caller before this process ends.
TimePoint Router::lastAnswerAt() const
{
    return m_endsAt - processingTime();
}

void Router::limitToStop(Request& request) const
{
    if (!isStopping() || request.hardDeadline <= lastAnswerAt())
        return;
    request.hardDeadline = lastAnswerAt();
    request.softDeadline = std::min(request.softDeadline, request.hardDeadline);
    request.endsWithProcess = true;
}

// Returns an upper estimate of the time that the server needs for an attempt, including its own queue. Attempts that are still unanswered
// show how much slower it has become since the last reply.
Micros Router::expectedDuration(const Server& server, const LatencyProfile& profile) const
{
    Micros expected = server.longestDuration(profile.index, m_now);
    if (expected.count() == 0) {
        for (const Server* other : m_servers.serversOf(server.record.collection))
            expected = std::max(expected, other->longestDuration(profile.index, m_now));
    }
    if (expected.count() == 0)
        expected = profile.durations.weight() > 0 ? profile.durations.quantile(kSlowQuantile) : profile.latencyObjective;
    for (const auto& [id, sentAt] : server.unanswered) {
        if (m_attempts.at(id).profile == &profile)
            expected = std::max(expected, std::chrono::duration_cast<Micros>(m_now - sentAt));
    }
    return expected;
}

policy::SlotSchedule Router::scheduleOf(const Server& server) const
{
    policy::SlotSchedule schedule(server.record.slots);
    for (const auto& [id, sentAt] : server.unanswered)
        schedule.add(std::max(Micros { 0 }, expectedDuration(server, *m_attempts.at(id).profile) - std::chrono::duration_cast<Micros>(m_now - sentAt)));
    return schedule;
}

// Returns the expected time until the answer if the server gets another attempt now, after those that wait for it.
Micros Router::timeUntilAnswer(const Server& server, const LatencyProfile& profile) const
{
    policy::SlotSchedule schedule = scheduleOf(server);
    for (const AttemptId id : server.waiting)
        schedule.add(expectedDuration(server, *m_attempts.at(id).profile));
    return schedule.timeUntilFinished(expectedDuration(server, profile));
}

bool Router::endsBeforeAnswer(const Server& server, const LatencyProfile& profile) const
{
    return isStopping() && m_now + timeUntilAnswer(server, profile) > lastAnswerAt();
}

// Returns whether this process ends before any server of the collection is expected to answer.
bool Router::endsBeforeAnswer(const CollectionName& collection, const LatencyProfile& profile) const
{
    if (!isStopping())
        return false;
    const std::vector<Server*> usable = m_servers.usableServers(collection);
    return std::all_of(usable.begin(), usable.end(), [&](const Server* server) { return endsBeforeAnswer(*server, profile); });
}

// While this process is stopping, a server gets no more attempts than it runs at the same time. The others wait here, where it is still
// certain that they have not run.
bool Router::maySendNext(const Server& server) const
{
    return !isStopping() || server.unanswered.size() < std::max(1U, server.record.slots);
}

bool Router::isTooLateToSend(const Server& server, const Attempt& attempt) const
{
    return isStopping() && m_now + expectedDuration(server, *attempt.profile) > lastAnswerAt();
}

// Gives up the attempts that wait for a server and are no longer expected to be answered in time.
void Router::failLateWaiting()
{
    for (const auto& [instance, server] : m_servers.all()) {
        if (server->waiting.empty())
            continue;
        for (const AttemptId id : lateWaiting(*server)) {
            const auto it = m_attempts.find(id);
            if (it == m_attempts.end())
                continue;
            const Attempt attempt = it->second;
            std::erase(server->waiting, id);
            releaseToken(attempt);
            m_attempts.erase(it);
            if (const auto request = m_requests.find(attempt.request); request != m_requests.end())
                request->second.isOutOfTime = true;
            attemptFailed(attempt.request, attempt.part, server.get(), AttemptProgress::NotSent, "the process ends before an answer is expected");
        }
        dispatchWaiting(*server);
    }
}

std::vector<AttemptId> Router::lateWaiting(const Server& server) const
{
    std::vector<AttemptId> waiting = server.waiting;
    std::stable_sort(waiting.begin(), waiting.end(), [this](AttemptId a, AttemptId b) { return m_attempts.at(a).priority < m_attempts.at(b).priority; });
    policy::SlotSchedule schedule = scheduleOf(server);
    std::vector<AttemptId> late;
    for (const AttemptId id : waiting) {
        const Micros work = expectedDuration(server, *m_attempts.at(id).profile);
        if (m_now + schedule.timeUntilFinished(work) > lastAnswerAt())
            late.push_back(id);
        else
            schedule.add(work);
    }
    return late;
}

Micros Router::retryAfterStop()
{
    return randomDelay(kMinimumRetryAfterStop, kMaximumRetryAfterStop);
}

} // namespace curranttrail::routing
