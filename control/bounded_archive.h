#pragma once

#include <cereal/cereal.hpp>

#include <bit>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace curranttrail::control::detail {

// Input archive for cereal's portable little-endian binary format in memory. Unlike cereal's own archive it checks each encoded
// size against the remaining bytes, so that corrupt input cannot cause a large allocation.
// The control group cannot use core/bounded_archive.h, which encodes sizes in 16 bits with a limit for each field: journals and
// snapshots have cereal's 64-bit sizes, and a configuration document may have up to 2 MiB.
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision> {
public:
    explicit BoundedInputArchive(std::string_view bytes)
        : cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this)
        , m_bytes(bytes)
    {
        static_assert(std::endian::native == std::endian::little);
        std::uint8_t littleEndian = 0;
        loadBinary(&littleEndian, 1);
        if (littleEndian != 1)
            throw cereal::Exception("the encoded byte order is not little-endian");
    }

    void loadBinary(void* data, std::size_t size)
    {
        if (size > m_bytes.size())
            throw cereal::Exception("unexpected end of input");
        std::memcpy(data, m_bytes.data(), size);
        m_bytes.remove_prefix(size);
    }

    std::size_t remaining() const { return m_bytes.size(); }

private:
    std::string_view m_bytes;
};

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, T& value)
{
    if constexpr (std::is_same_v<T, bool>) {
        std::uint8_t byte = 0;
        archive.loadBinary(&byte, 1);
        if (byte > 1)
            throw cereal::Exception("an encoded bool is neither 0 nor 1");
        value = byte == 1;
    } else {
        archive.loadBinary(&value, sizeof(T));
    }
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, cereal::NameValuePair<T>& pair) { archive(pair.value); }

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, cereal::SizeTag<T>& tag)
{
    archive(tag.size);
    if (tag.size > archive.remaining())
        throw cereal::Exception("an encoded size exceeds the remaining input");
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, cereal::BinaryData<T>& data)
{
    archive.loadBinary(data.data, static_cast<std::size_t>(data.size));
}

} // namespace curranttrail::control::detail

CEREAL_REGISTER_ARCHIVE(curranttrail::control::detail::BoundedInputArchive)
