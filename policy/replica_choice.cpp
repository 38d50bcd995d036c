#include "policy/replica_choice.h"

#include <boost/random/uniform_int_distribution.hpp>

namespace curranttrail::policy {

std::size_t ReplicaChoice::choose(std::span<const double> costs, Random& random)
{
    if (costs.size() < 2)
        return 0;
    const std::size_t first = boost::random::uniform_int_distribution<std::size_t>(0, costs.size() - 1)(random);
    std::size_t second = boost::random::uniform_int_distribution<std::size_t>(0, costs.size() - 2)(random);
    if (second >= first)
        ++second;
    return costs[second] < costs[first] ? second : first;
}

} // namespace curranttrail::policy
