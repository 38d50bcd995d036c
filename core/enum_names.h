#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace curranttrail {

// Row of a name table. A table lists every enumerator once.
template <typename Enum>
struct EnumName {
    Enum value;
    std::string_view name;
};

// Returns the name of a value, or "unknown" if the table lacks it.
template <typename Enum, std::size_t size>
constexpr std::string_view nameOf(const std::array<EnumName<Enum>, size>& table, Enum value)
{
    for (const EnumName<Enum>& row : table) {
        if (row.value == value)
            return row.name;
    }
    return "unknown";
}

// Returns the value with the given name, or nothing if the table lacks it.
template <typename Enum, std::size_t size>
constexpr std::optional<Enum> valueOf(const std::array<EnumName<Enum>, size>& table, std::string_view name)
{
    for (const EnumName<Enum>& row : table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace curranttrail
