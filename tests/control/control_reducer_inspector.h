#pragma once

#include "control/control_reducer.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>

namespace curranttrail::control {

// Gives the model checker access to the private state of a reducer.
class ControlReducerInspector {
public:
    static const ReplicatedLog& log(const ControlReducer& reducer) { return reducer.m_log; }
    static std::uint64_t round(const ControlReducer& reducer) { return reducer.m_round; }

    // Returns a text of all state that affects the reducer's future behaviour. Times and rounds are relative, and random
    // numbers are omitted.
    static std::string fingerprint(const ControlReducer& reducer, TimePoint now)
    {
        const auto age = [now](const std::optional<TimePoint>& time) { return time ? std::clamp<Micros::rep>((now - *time).count(), -700'000, 700'000) : 800'000; };
        std::string text = fmt::format("{} {} {} {} {} {} {} {}|", static_cast<int>(reducer.m_role), reducer.m_term, reducer.m_votedFor.value_or(""), reducer.m_repairId,
            reducer.m_leader.value_or(""), reducer.m_commitIndex, reducer.m_syncedIndex, age(reducer.m_leaderContact));
        for (LogIndex index = reducer.m_log.baseIndex() + 1; index <= reducer.m_log.lastIndex(); ++index) {
            const LogEntry& entry = reducer.m_log.at(index);
            text += fmt::format("{}:{},", entry.term, entry.command.index());
        }
        for (const auto* names : { &reducer.m_log.members().voters, &reducer.m_log.members().learners }) {
            text += '/';
            for (const InstanceName& name : *names)
                text += name;
        }
        const MembersAt& members = reducer.m_log.currentMembers();
        text += fmt::format("/{} {} {} {}", reducer.votingSets().size(), members.votersIndex, members.committedBy, members.confirmedBy);
        for (const auto& [name, reply] : reducer.m_voteReplies)
            text += fmt::format("r{}{}", name, reply.repairId);
        for (const auto& [name, grant] : reducer.m_grantedVotes)
            text += fmt::format("g{}{}{}", name, grant.repairId, grant.conditional);
        for (const InstanceName& name : reducer.m_nonLeaders)
            text += fmt::format("n{}", name);
        for (const auto& [name, start] : reducer.m_voterStartIds)
            text += fmt::format("s{}{}", name, start);
        text += fmt::format("u{}", reducer.mayHaveSupportedLease() ? age(reducer.m_startedAt) : 0);
        if (reducer.m_role != Role::Leader)
            return text;
        text += fmt::format("|{} {} {}", reducer.m_termStartIndex, age(reducer.m_leaderSince), reducer.m_leaseHeld);
        if (reducer.m_helper)
            text += fmt::format("h{} {} {}", reducer.m_helper->name, reducer.m_helper->repairId, reducer.m_helper->votersIndex);
        for (const auto& [name, progress] : reducer.m_progress) {
            text += fmt::format("|{} {} {} {} {} {} {} {} {} {} {} {} {} {}", name, progress.next, progress.match, progress.awaitingReply, progress.resendAt <= now, age(progress.acknowledgedSentAt),
                age(progress.lastReply), reducer.m_round - progress.lastRound, progress.lastPreviousIndex, reducer.m_round - progress.matchRound, reducer.m_round + 1 - progress.minimumRound,
                progress.repairId, progress.repairIndex, progress.knowsConfirmation * 4 + progress.repairAnnounced * 2 + progress.regressed);
        }
        return text;
    }
};

} // namespace curranttrail::control
