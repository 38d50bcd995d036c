#pragma once

#include "control/bounded_archive.h"
#include "control/serialization.h"

#include <cereal/archives/portable_binary.hpp>

#include <exception>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

namespace curranttrail::control::detail {

// Encodes the format version followed by the value in cereal's portable binary format.
template <typename T>
std::string encodeValue(const T& value)
{
    std::ostringstream stream;
    stream.put(static_cast<char>(kFormatVersion));
    {
        cereal::PortableBinaryOutputArchive archive(stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
        archive(value);
    }
    return std::move(stream).str();
}

// Returns std::nullopt unless the bytes are one value of the current format version and within the limit. Bytes after the value are an
// extension if the caller takes one, and an error otherwise.
template <typename T>
std::optional<T> decodeValue(std::string_view bytes, std::size_t limit, std::string_view* extension = nullptr)
{
    if (bytes.empty() || bytes.size() > limit || static_cast<std::uint8_t>(bytes.front()) != kFormatVersion)
        return std::nullopt;
    try {
        BoundedInputArchive archive(bytes.substr(1));
        T value;
        archive(value);
        if (archive.remaining() != 0 && !extension)
            return std::nullopt;
        if (extension)
            *extension = bytes.substr(bytes.size() - archive.remaining());
        return value;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace curranttrail::control::detail
