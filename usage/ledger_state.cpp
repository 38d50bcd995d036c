#include "usage/ledger_state.h"

#include <algorithm>

namespace curranttrail::usage {

namespace {

    // Returns the start time of the next chain of the same instance, if one is known.
    std::optional<UnixMillis> nextChainStart(const std::map<ChainId, ChainState>& chains, std::map<ChainId, ChainState>::const_iterator it)
    {
        const InstanceName& instance = it->first.instance;
        ++it;
        if (it == chains.end() || it->first.instance != instance)
            return std::nullopt;
        return it->second.firstAt;
    }

} // namespace

std::vector<Gap> collectGaps(const std::map<ChainId, ChainState>& chains)
{
    std::vector<Gap> gaps;
    for (std::map<ChainId, ChainState>::const_iterator it = chains.begin(); it != chains.end(); ++it) {
        const ChainState& state = it->second;
        for (const OpenGap& openGap : state.gaps) {
            const GapNotice& notice = openGap.notice.notice;
            gaps.push_back({ it->first, GapKind::Stated, openGap.next, notice.last, openGap.units, notice.firstAt, notice.lastAt, notice.lastAt });
        }
        if (state.closed)
            continue;
        Gap gap;
        gap.chain = it->first;
        gap.first = state.next;
        gap.from = state.lastAt;
        gap.knownUntil = state.lastAt;
        if (state.hasHead) {
            const Head& head = state.head.head;
            gap.units = head.totals.saturatingDifference(state.totals);
            gap.units += head.number + 1 >= state.next ? head.unsealed : BillableUnits {};
            gap.knownUntil = head.at;
            if (head.number >= state.next)
                gap.last = head.number;
        }
        const std::optional<UnixMillis> next = nextChainStart(chains, it);
        gap.kind = next ? GapKind::Lost : GapKind::Open;
        if (next)
            gap.until = std::max(*next, gap.knownUntil);
        gaps.push_back(std::move(gap));
    }
    return gaps;
}

} // namespace curranttrail::usage
