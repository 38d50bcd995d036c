#pragma once

#include "core/random.h"

#include <cstddef>
#include <span>

namespace curranttrail::policy {

// Power of two choices: samples two candidates at random and chooses the one with the lower cost, so that instances with the same
// view do not all choose the same server.
class ReplicaChoice {
public:
    // Returns the index of the chosen candidate. The costs must not be empty.
    static std::size_t choose(std::span<const double> costs, Random& random);
};

} // namespace curranttrail::policy
