#pragma once

#include "core/event_log.h"

#include <array>

namespace curranttrail {

namespace events {

    inline constexpr EventDescription kStarting { 1001, "starting", Severity::Information, "The process has read its settings and is starting." };
    inline constexpr EventDescription kReady { 1002, "ready", Severity::Information, "The instance is ready for traffic." };
    inline constexpr EventDescription kNotReady { 1003, "not_ready", Severity::Warning, "The instance is no longer ready for traffic." };
    inline constexpr EventDescription kDraining { 1004, "draining", Severity::Information, "The instance accepts no new work and finishes the work in flight." };
    inline constexpr EventDescription kStopped { 1005, "stopped", Severity::Information, "No work is in flight any more; the process exits." };
    inline constexpr EventDescription kDrainTimedOut { 1006, "drain_timed_out", Severity::Error, "Work was still in flight at the drain timeout." };
    inline constexpr EventDescription kConfigurationLoaded { 1010, "configuration_loaded", Severity::Information, "A higher configuration version of an owner was loaded." };
    inline constexpr EventDescription kConfigurationUnavailable { 1011, "configuration_unavailable", Severity::Warning, "No control leader with a valid lease and no serving peer answered; the last configuration stays in use." };
    inline constexpr EventDescription kClaimSettled { 1012, "claim_settled", Severity::Debug, "The outcome of a claim is recorded." };
    inline constexpr EventDescription kClaimSettlementRepeated { 1013, "claim_settlement_repeated", Severity::Warning, "The outcome of a claim could not be recorded yet; the settlement is retried." };

} // namespace events

inline constexpr std::array kMainEvents {
    &events::kStarting,
    &events::kReady,
    &events::kNotReady,
    &events::kDraining,
    &events::kStopped,
    &events::kDrainTimedOut,
    &events::kConfigurationLoaded,
    &events::kConfigurationUnavailable,
    &events::kClaimSettled,
    &events::kClaimSettlementRepeated,
};

} // namespace curranttrail
