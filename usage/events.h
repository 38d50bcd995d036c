#pragma once

#include "core/event_log.h"

namespace curranttrail::usage::events {

inline constexpr EventDescription kRecordsSealed { 5001, "records_sealed", Severity::Debug, "Accumulated usage was sealed into signed records." };
inline constexpr EventDescription kRecordsDropped { 5002, "records_dropped", Severity::Error, "The limit on unacknowledged records was reached; the oldest records were dropped and the gap is stated to the ledgers that lack them." };
inline constexpr EventDescription kChainClosed { 5003, "chain_closed", Severity::Information, "The closing record of a chain was sealed." };
inline constexpr EventDescription kRecordRejected { 5004, "record_rejected", Severity::Error, "A record, head, gap notice or ledger message failed validation and was not applied." };
inline constexpr EventDescription kRecordConflict { 5005, "record_conflict", Severity::Error, "An instance signed two different records with the same number." };
inline constexpr EventDescription kGapStated { 5006, "gap_stated", Severity::Warning, "An instance stated that it dropped records before this ledger received them." };
inline constexpr EventDescription kGapFilled { 5007, "gap_filled", Severity::Information, "A stated gap was filled with records from another ledger." };
inline constexpr EventDescription kHeadConflict { 5008, "head_disputed", Severity::Error, "Another ledger holds a different record with the same number." };
inline constexpr EventDescription kHeadsCounterSigned { 5009, "heads_counter_signed", Severity::Debug, "Another ledger counter-signed chain heads of this ledger." };
inline constexpr EventDescription kCatchUp { 5010, "catch_up", Severity::Information, "Missing records are requested from another ledger." };
inline constexpr EventDescription kBufferedRecordDropped { 5011, "held_record_dropped", Severity::Debug, "An out-of-order record was dropped because the reorder buffer is full; it is expected to be sent again." };

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
