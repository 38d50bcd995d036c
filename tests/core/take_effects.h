#pragma once

#include <variant>
#include <vector>

namespace curranttrail::tests {

// Removes and returns the effects of one type.
template <typename T, typename Effect>
std::vector<T> takeEffects(std::vector<Effect>& effects)
{
    std::vector<T> taken;
    std::erase_if(effects, [&](const Effect& effect) {
        const T* value = std::get_if<T>(&effect);
        if (value)
            taken.push_back(*value);
        return value != nullptr;
    });
    return taken;
}

} // namespace curranttrail::tests
