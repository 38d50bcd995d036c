#pragma once

#include <array>
#include <cstddef>
#include <cstring>
#include <functional>
#include <string_view>

namespace curranttrail {

// SHA-256 of a secret key. Stands for the key wherever keys are compared, and has no text form, so that none reaches a log.
class KeyDigest {
public:
    explicit KeyDigest(std::string_view key);

    bool operator==(const KeyDigest&) const = default;

private:
    friend struct std::hash<KeyDigest>;

    std::array<unsigned char, 32> m_bytes {};
};

} // namespace curranttrail

template <>
struct std::hash<curranttrail::KeyDigest> {
    std::size_t operator()(const curranttrail::KeyDigest& digest) const noexcept
    {
        std::size_t value = 0;
        std::memcpy(&value, digest.m_bytes.data(), sizeof value);
        return value;
    }
};
