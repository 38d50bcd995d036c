#include "main/group_search.h"

#include "main/feed_events.h"

#include <fmt/format.h>

#include <utility>

namespace curranttrail {

namespace {
    constexpr Micros kRequestInterval { 1'000'000 };
}

GroupSearch::GroupSearch(const InstanceName& self, GroupConnection groupConnection, GroupLinks& links, ControlRuntime& runtime, transport::EventSink& sink)
    : m_self(self)
    , m_groupConnection(std::move(groupConnection))
    , m_links(links)
    , m_runtime(runtime)
    , m_sink(sink)
{
}

void GroupSearch::update(const control::ReplicaStatus& status, TimePoint now)
{
    if (status.leader && (status.voters.contains(m_self) || status.learners.contains(m_self))) {
        m_directory = {};
        return;
    }
    if (now - m_lastRequest < kRequestInterval)
        return;
    m_lastRequest = now;
    std::set<InstanceName> targets = m_directory.all();
    targets.insert(status.voters.begin(), status.voters.end());
    targets.merge(seedNames());
    m_sink.log(events::kJoinRequested, { { "targets", fmt::format("{}", fmt::join(targets, ",")) }, { "term", fmt::to_string(status.term) } });
    for (const InstanceName& target : targets)
        requestJoin(target);
}

void GroupSearch::requestJoin(const InstanceName& target)
{
    m_links.requestJoin(target, kRequestInterval, [this](const control::JoinReply& reply) {
        std::vector<InstanceName> names = reply.members;
        if (reply.leader)
            names.push_back(*reply.leader);
        for (const InstanceName& name : m_directory.addNamed(names))
            requestJoin(name);
    });
}

void GroupSearch::introduceToSeeds(const control::ReplicaStatus& status)
{
    if (std::exchange(m_introducedTerm, status.term) == status.term)
        return;
    for (const InstanceName& seed : seedNames()) {
        if (!status.voters.contains(seed) && !status.learners.contains(seed))
            m_links.requestJoin(seed, kRequestInterval, [](const control::JoinReply&) {});
    }
}

void GroupSearch::takeRequest(const InstanceName& name, std::function<void(const control::JoinReply& reply)> respond)
{
    // An instance that searches asks the sender too, which may be a member.
    m_directory.addNamed({ name });
    if (!respond)
        return;
    m_runtime.view([respond = std::move(respond)](const control::ControlReducer& reducer, TimePoint now) {
        const control::ReplicaStatus status = reducer.status(now);
        respond({ status.membersRecorded ? status.leader : std::nullopt, recordedMembers(status) });
    });
}

std::set<InstanceName> GroupSearch::seedNames() const
{
    std::set<InstanceName> names;
    for (const transport::Endpoint& seed : m_groupConnection.seeds)
        names.insert(memberName(m_groupConnection, seed));
    return names;
}

} // namespace curranttrail
