#pragma once

#include "core/event_log.h"

namespace curranttrail::usage::events {

inline constexpr EventDescription kRecordsSealed { 5001, "records_sealed", Severity::Debug, "Accumulated use was sealed into records." };
inline constexpr EventDescription kRecordsDropped { 5002, "records_dropped", Severity::Error, "The bound on unacknowledged records was reached; the oldest were dropped and a gap is stated to the ledgers that lack them." };
inline constexpr EventDescription kChainClosed { 5003, "chain_closed", Severity::Information, "The closing record was sealed or applied." };
inline constexpr EventDescription kRecordRejected { 5004, "record_rejected", Severity::Error, "A record, head or gap notice failed its checks and was not applied." };
inline constexpr EventDescription kRecordConflict { 5005, "record_conflict", Severity::Error, "An instance signed two different records under one number." };
inline constexpr EventDescription kGapStated { 5006, "gap_stated", Severity::Warning, "An instance stated that it dropped records before this ledger had them." };
inline constexpr EventDescription kGapFilled { 5007, "gap_filled", Severity::Information, "A stated gap was filled from another ledger." };
inline constexpr EventDescription kHeadConflict { 5008, "head_disputed", Severity::Error, "Another ledger holds a different record under a number that this ledger has." };
inline constexpr EventDescription kHeadsCounterSigned { 5009, "heads_counter_signed", Severity::Debug, "Another ledger confirmed the heads of this one." };
inline constexpr EventDescription kCatchUp { 5010, "catch_up", Severity::Information, "Records are requested from another ledger." };
inline constexpr EventDescription kBufferedRecordDropped { 5011, "held_record_dropped", Severity::Debug, "A record out of order was dropped because the buffer is full; it will be sent again." };

inline constexpr std::array<const EventDescription*, 11> kCatalogue { {
    &kRecordsSealed,
    &kRecordsDropped,
    &kChainClosed,
    &kRecordRejected,
    &kRecordConflict,
    &kGapStated,
    &kGapFilled,
    &kHeadConflict,
    &kHeadsCounterSigned,
    &kCatchUp,
    &kBufferedRecordDropped,
} };

} // namespace curranttrail::usage::events
