#include "core/random.h"

#include <random>

namespace curranttrail {

std::uint64_t generateSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace curranttrail
