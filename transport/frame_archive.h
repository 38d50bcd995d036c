#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

#include <bit>
#include <cstring>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

namespace curranttrail::transport {

// Reads the little-endian format of cereal's PortableBinaryOutputArchive.
// Unlike cereal's input archive, which allocates memory for any length stated in a message, it rejects a length that exceeds
// the remaining bytes, so that a short malformed message cannot exhaust memory.
class FrameInputArchive : public cereal::InputArchive<FrameInputArchive, cereal::AllowEmptyClassElision> {
public:
    explicit FrameInputArchive(std::string_view bytes)
        : cereal::InputArchive<FrameInputArchive, cereal::AllowEmptyClassElision>(this)
        , m_remaining(bytes)
    {
        std::uint8_t order = 0;
        readBytes(&order, 1);
        if (order != 1)
            throw cereal::Exception("the message is not little-endian");
    }

    void readBytes(void* out, std::size_t size)
    {
        if (size > m_remaining.size())
            throw cereal::Exception("the message is truncated");
        std::memcpy(out, m_remaining.data(), size);
        m_remaining.remove_prefix(size);
    }

    std::size_t remainingBytes() const { return m_remaining.size(); }

private:
    std::string_view m_remaining;
};

template <typename Number>
requires std::is_arithmetic_v<Number>
void CEREAL_LOAD_FUNCTION_NAME(FrameInputArchive& archive, Number& value)
{
    static_assert(std::endian::native == std::endian::little);
    archive.readBytes(&value, sizeof(value));
}

template <typename Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(FrameInputArchive& archive, cereal::NameValuePair<Value>& pair)
{
    archive(pair.value);
}

template <typename Size>
void CEREAL_SERIALIZE_FUNCTION_NAME(FrameInputArchive& archive, cereal::SizeTag<Size>& tag)
{
    archive(tag.size);
    if (tag.size > archive.remainingBytes())
        throw cereal::Exception("a length field exceeds the remaining message");
}

template <typename Data>
void CEREAL_LOAD_FUNCTION_NAME(FrameInputArchive& archive, cereal::BinaryData<Data>& data)
{
    archive.readBytes(data.data, static_cast<std::size_t>(data.size));
}

// Serializes the values in the given order.
template <typename... Values>
std::string encodeValues(const Values&... values)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
        archive(values...);
    }
    return std::move(stream).str();
}

// Decodes a message. Returns nothing if the body is malformed or has extra bytes at its end.
template <typename Message>
std::optional<Message> decodeValue(std::string_view body)
{
    try {
        FrameInputArchive archive(body);
        Message message;
        archive(message);
        if (archive.remainingBytes() != 0)
            return std::nullopt;
        return message;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace curranttrail::transport
