#pragma once

#include "core/bounded_archive.h"
#include "usage/ledger_state.h"
#include "usage/messages.h"
#include "usage/record.h"

#include <cereal/types/array.hpp>

#include <array>
#include <variant>

namespace curranttrail::usage {

inline constexpr std::size_t kMaximumNameBytes = 64;
inline constexpr std::size_t kMaximumOwnerBytes = 32;

template <typename Archive>
void serialize(Archive& archive, BillableUnits& units)
{
    archive(units.subqueries, units.serverMicros, units.bytes);
}

template <typename Archive>
void serialize(Archive& archive, UsageKey& key)
{
    archive(bounded<kMaximumOwnerBytes>(key.causedBy), bounded<kMaximumOwnerBytes>(key.servedBy), bounded<kMaximumNameBytes>(key.className));
}

template <typename Archive>
void serialize(Archive& archive, ChainId& chain)
{
    archive(bounded<kMaximumNameBytes>(chain.instance), chain.incarnation);
}

template <typename Archive>
void serialize(Archive& archive, Record& record)
{
    archive(record.chain, record.number, record.previous);
    archiveEnum(archive, record.kind, RecordKind::Closing);
    archive(record.key, record.units, record.firstAt, record.lastAt);
}

template <typename Archive>
void serialize(Archive& archive, SignedRecord& record)
{
    archive(record.record, record.signature);
}

template <typename Archive>
void serialize(Archive& archive, Head& head)
{
    archive(head.chain, head.number, head.hash, head.totals, head.unsealed, head.at);
}

template <typename Archive>
void serialize(Archive& archive, SignedHead& head)
{
    archive(head.head, head.signature);
}

template <typename Archive>
void serialize(Archive& archive, GapNotice& notice)
{
    archive(notice.chain, notice.first, notice.last, notice.lastHash, notice.totals, notice.firstAt, notice.lastAt);
}

template <typename Archive>
void serialize(Archive& archive, SignedGapNotice& notice)
{
    archive(notice.notice, notice.signature);
}

template <typename Archive>
void serialize(Archive& archive, Batch& batch)
{
    archive(batch.chain, bounded<kMaximumBatchGaps>(batch.gaps), bounded<kMaximumBatchRecords>(batch.records), batch.head);
}

template <typename Archive>
void serialize(Archive& archive, Acknowledgement& acknowledgement)
{
    archive(acknowledgement.chain, acknowledgement.number);
}

template <typename Archive>
void serialize(Archive& archive, ChainHead& head)
{
    archive(head.chain, head.number, head.hash, head.totals);
}

template <typename Archive>
void serialize(Archive& archive, LedgerHeads& heads)
{
    archive(bounded<kMaximumNameBytes>(heads.ledger), heads.sequence, bounded<kMaximumExchangedHeads>(heads.chains), heads.signature);
}

template <typename Archive>
void serialize(Archive& archive, CounterSignature& counter)
{
    archive(bounded<kMaximumNameBytes>(counter.ledger), counter.digest, bounded<kMaximumExchangedHeads>(counter.matched), counter.signature);
}

template <typename Archive>
void serialize(Archive& archive, RangeRequest& request)
{
    archive(request.chain, request.first, request.last);
}

template <typename Archive>
void serialize(Archive& archive, RangeReply& reply)
{
    archive(reply.chain, reply.first, bounded<kMaximumRangeRecords>(reply.records));
}

template <typename Archive>
void serialize(Archive& archive, CounterSignedHeads& heads)
{
    archive(heads.heads, heads.counter);
}

template <typename Archive>
void serialize(Archive& archive, OpenGap& gap)
{
    archive(gap.notice, gap.next, gap.previousHash, gap.units);
}

template <typename Archive>
void serialize(Archive& archive, ChainState& state)
{
    archive(state.next, state.last, state.totals);
    archiveBool(archive, state.closed);
    archive(state.firstAt, state.lastAt);
    archiveBool(archive, state.hasHead);
    archive(state.head, bounded<kMaximumGaps>(state.gaps));
}

template <typename Archive>
void serialize(Archive& archive, ChainCheckpoint& checkpoint)
{
    archive(checkpoint.chain, checkpoint.state);
}

template <typename Archive>
void serialize(Archive& archive, BillLine& line)
{
    archive(line.key, line.units);
}

template <typename Archive>
void serialize(Archive& archive, LedgerCheckpoint& checkpoint)
{
    archive(checkpoint.entries, bounded<kMaximumCheckpointItems>(checkpoint.chains), bounded<kMaximumCheckpointItems>(checkpoint.bill));
}

namespace detail {

    // A variant is encoded as one byte for the index of the alternative, followed by its content. All alternatives are default
    // constructible.
    template <typename Archive, typename... Alternatives>
    void saveVariant(Archive& archive, const std::variant<Alternatives...>& value)
    {
        archive(static_cast<std::uint8_t>(value.index()));
        std::visit([&archive](const auto& content) { archive(content); }, value);
    }

    template <typename Archive, typename... Alternatives>
    void loadVariant(Archive& archive, std::variant<Alternatives...>& value)
    {
        using Loader = void (*)(Archive&, std::variant<Alternatives...>&);
        static constexpr std::array<Loader, sizeof...(Alternatives)> kLoaders { [](Archive& from, std::variant<Alternatives...>& into) {
            from(into.template emplace<Alternatives>());
        }... };
        std::uint8_t index = 0;
        archive(index);
        if (index >= kLoaders.size())
            throw BoundsError("unknown kind of message");
        kLoaders.at(index)(archive, value);
    }

} // namespace detail

} // namespace curranttrail::usage
