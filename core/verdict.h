#pragma once

#include "core/enum_names.h"

#include <array>
#include <span>
#include <string_view>

namespace curranttrail {

// Progress of an attempt to run a request on a backend server.
enum class AttemptProgress {
    NotSent,
    RefusedBeforeWork,
    BytesSent,
    Replied,
    Unknown,
};

inline constexpr std::array<EnumName<AttemptProgress>, 5> kAttemptProgressNames { {
    { AttemptProgress::NotSent, "not_sent" },
    { AttemptProgress::RefusedBeforeWork, "refused_before_work" },
    { AttemptProgress::BytesSent, "bytes_sent" },
    { AttemptProgress::Replied, "replied" },
    { AttemptProgress::Unknown, "unknown" },
} };

// States whether a request ran or may have run. It is derived from attempts by verdictOf() only.
enum class Verdict {
    NotRun,
    MayHaveRun,
    Ran,
};

inline constexpr std::array<EnumName<Verdict>, 3> kVerdictNames { {
    { Verdict::NotRun, "not_run" },
    { Verdict::MayHaveRun, "may_have_run" },
    { Verdict::Ran, "ran" },
} };

// Returns the verdict on a request from the progress of all its attempts. Without attempts, it is NotRun.
constexpr Verdict verdictOf(std::span<const AttemptProgress> attempts)
{
    Verdict verdict = Verdict::NotRun;
    for (AttemptProgress progress : attempts) {
        switch (progress) {
        case AttemptProgress::NotSent:
        case AttemptProgress::RefusedBeforeWork:
            break;
        case AttemptProgress::Replied:
            return Verdict::Ran;
        case AttemptProgress::BytesSent:
        case AttemptProgress::Unknown:
            verdict = Verdict::MayHaveRun;
            break;
        }
    }
    return verdict;
}

} // namespace curranttrail
