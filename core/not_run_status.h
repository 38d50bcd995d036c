#pragma once

#include <algorithm>
#include <array>

namespace curranttrail {

// HTTP statuses that promise callers that a request has not run and will not run. Callers repeat a request after them even if it may run
// only once, so that an answer bears one of them only if that is certain.
inline constexpr std::array<unsigned, 4> kNotRunStatuses { 408, 421, 429, 503 };

constexpr bool promisesNotRun(unsigned status)
{
    return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), status) != kNotRunStatuses.end();
}

} // namespace curranttrail
