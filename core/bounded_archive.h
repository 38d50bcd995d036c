#pragma once

#include <cereal/archives/portable_binary.hpp>

#include <cstddef>
#include <cstdint>
#include <istream>
#include <map>
#include <ostream>
#include <stdexcept>
#include <streambuf>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace curranttrail {

// Thrown while encoding or decoding if a count, a length or an enumerator is out of bounds.
class BoundsError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// A string, vector or map whose size is checked against a limit before memory is reserved for it.
// cereal's own containers reserve any size that the input states, so they must not be used for untrusted input.
template <std::size_t limit, typename T>
struct Bounded {
    T& value;
};

template <std::size_t limit, typename T>
Bounded<limit, T> bounded(T& value)
{
    static_assert(limit <= UINT16_MAX);
    return { value };
}

namespace detail {

    template <std::size_t limit, typename Archive>
    void saveSize(Archive& archive, std::size_t size)
    {
        if (size > limit)
            throw BoundsError("the size of a string or container exceeds its limit");
        archive(static_cast<std::uint16_t>(size));
    }

    template <std::size_t limit, typename Archive>
    std::size_t loadSize(Archive& archive)
    {
        std::uint16_t size = 0;
        archive(size);
        if (size > limit)
            throw BoundsError("the size of a string or container exceeds its limit");
        return size;
    }

    // Stream buffer that reads from memory owned by the caller.
    class ViewBuffer : public std::streambuf {
    public:
        explicit ViewBuffer(std::string_view bytes)
        {
            char* begin = const_cast<char*>(bytes.data());
            setg(begin, begin, begin + bytes.size());
        }

        std::size_t remaining() const { return static_cast<std::size_t>(egptr() - gptr()); }
    };

    // Stream buffer that appends to a string.
    class StringBuffer : public std::streambuf {
    public:
        std::string takeBytes() { return std::move(m_bytes); }

    protected:
        std::streamsize xsputn(const char* data, std::streamsize size) override
        {
            m_bytes.append(data, static_cast<std::size_t>(size));
            return size;
        }

        int_type overflow(int_type character) override
        {
            m_bytes.push_back(static_cast<char>(character));
            return character;
        }

    private:
        std::string m_bytes;
    };

} // namespace detail

template <typename Archive, std::size_t limit>
void save(Archive& archive, const Bounded<limit, std::string>& text)
{
    detail::saveSize<limit>(archive, text.value.size());
    archive(cereal::binary_data(text.value.data(), text.value.size()));
}

template <typename Archive, std::size_t limit>
void load(Archive& archive, Bounded<limit, std::string>& text)
{
    text.value.resize(detail::loadSize<limit>(archive));
    archive(cereal::binary_data(text.value.data(), text.value.size()));
}

template <typename Archive, std::size_t limit, typename T>
void save(Archive& archive, const Bounded<limit, std::vector<T>>& items)
{
    detail::saveSize<limit>(archive, items.value.size());
    for (T& item : items.value)
        archive(item);
}

template <typename Archive, std::size_t limit, typename T>
void load(Archive& archive, Bounded<limit, std::vector<T>>& items)
{
    const std::size_t size = detail::loadSize<limit>(archive);
    items.value.clear();
    for (std::size_t n = 0; n < size; ++n) {
        items.value.emplace_back();
        archive(items.value.back());
    }
}

// Saves an enumeration as one byte and rejects values above the last enumerator.
template <typename Archive, typename Enum>
void archiveEnum(Archive& archive, Enum& value, Enum last)
{
    std::uint8_t byte = static_cast<std::uint8_t>(value);
    archive(byte);
    if (byte > static_cast<std::uint8_t>(last))
        throw BoundsError("an enumeration has a value above its last enumerator");
    value = static_cast<Enum>(byte);
}

// Saves a bool as one byte and rejects bytes other than 0 and 1, which would be undefined behaviour in a bool.
template <typename Archive>
void archiveBool(Archive& archive, bool& value)
{
    std::uint8_t byte = value ? 1 : 0;
    archive(byte);
    if (byte > 1)
        throw BoundsError("a boolean is encoded as neither 0 nor 1");
    value = byte == 1;
}

// Encodes a value as little-endian portable binary, the same bytes on every machine.
template <typename T>
std::string encodePortable(const T& value)
{
    detail::StringBuffer buffer;
    std::ostream stream(&buffer);
    cereal::PortableBinaryOutputArchive archive(stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    archive(value);
    return buffer.takeBytes();
}

// Decodes a value. Returns false if the bytes are truncated, out of bounds or longer than the value.
template <typename T>
bool decodePortable(std::string_view bytes, T& value)
{
    detail::ViewBuffer buffer(bytes);
    std::istream stream(&buffer);
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        archive(value);
    } catch (const std::exception&) {
        return false;
    }
    return buffer.remaining() == 0;
}

} // namespace curranttrail
