#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace curranttrail {

// Identifies what a request asks for, whatever its id: requests with the same fingerprint are repetitions of one another.
struct RequestFingerprint {
    std::array<std::uint8_t, 16> bytes {};

    auto operator<=>(const RequestFingerprint&) const = default;
    // Returns the fingerprint as 32 hexadecimal digits.
    std::string text() const;
};

// Reads the 32 hexadecimal digits of a fingerprint, or returns nothing if the text is anything else.
std::optional<RequestFingerprint> parseFingerprint(std::string_view text);

// Computes fingerprints with SipHash under a key, so that no caller can construct two requests with the same one.
class RequestHasher {
public:
    static constexpr std::size_t kKeyBytes = 16;

    // Uses the first kKeyBytes of the key, which must be the same in all instances. Throws std::runtime_error if the key is shorter.
    explicit RequestHasher(std::string_view key);

    // Returns the fingerprint of a sequence of texts. Their lengths count, so that bytes cannot move from one to the next.
    RequestFingerprint fingerprint(std::initializer_list<std::string_view> parts) const;

private:
    std::array<unsigned char, kKeyBytes> m_key {};
};

} // namespace curranttrail

template <>
struct std::hash<curranttrail::RequestFingerprint> {
    std::size_t operator()(const curranttrail::RequestFingerprint& fingerprint) const noexcept
    {
        return std::hash<std::string_view> {}({ reinterpret_cast<const char*>(fingerprint.bytes.data()), fingerprint.bytes.size() });
    }
};
