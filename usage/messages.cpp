#include "usage/messages.h"

#include "usage/serialization.h"

namespace curranttrail::usage {

namespace {

    constexpr std::string_view kHeadsTag = "curranttrail ledger heads 1";
    constexpr std::string_view kCounterTag = "curranttrail counter-signature 1";

    std::string_view asStringView(const Hash& hash)
    {
        return { reinterpret_cast<const char*>(hash.data()), hash.size() };
    }

    template <typename Content>
    struct Versioned {
        std::uint8_t version = kFormatVersion;
        Content content;
    };

    template <typename Content>
    inline constexpr bool kIsVariant = false;
    template <typename... Alternatives>
    inline constexpr bool kIsVariant<std::variant<Alternatives...>> = true;

    template <typename Archive, typename Content>
    void serialize(Archive& archive, Versioned<Content>& value)
    {
        archive(value.version);
        if (value.version != kFormatVersion)
            throw BoundsError("unknown format version");
        if constexpr (!kIsVariant<Content>)
            archive(value.content);
        else if constexpr (Archive::is_loading::value)
            detail::loadVariant(archive, value.content);
        else
            detail::saveVariant(archive, value.content);
    }

    template <typename Content>
    std::string encodeVersioned(const Content& content)
    {
        return encodePortable(Versioned<Content> { kFormatVersion, content });
    }

    template <typename Content>
    std::optional<Content> decodeVersioned(std::string_view bytes)
    {
        Versioned<Content> value;
        if (!decodePortable(bytes, value))
            return std::nullopt;
        return std::move(value.content);
    }

} // namespace

Hash digestOf(const LedgerHeads& heads)
{
    LedgerHeads content = heads;
    content.signature = {};
    return sha256(std::string { kHeadsTag } + encodePortable(content));
}

Hash digestOf(const CounterSignature& counter)
{
    CounterSignature content = counter;
    content.signature = {};
    return sha256(std::string { kCounterTag } + encodePortable(content));
}

void sign(LedgerHeads& heads, const PrivateKey& key)
{
    heads.signature = key.sign(asStringView(digestOf(heads)));
}

void sign(CounterSignature& counter, const PrivateKey& key)
{
    counter.signature = key.sign(asStringView(digestOf(counter)));
}

bool isSignedBy(const LedgerHeads& heads, const PublicKey& key)
{
    return key.verify(asStringView(digestOf(heads)), heads.signature);
}

bool isSignedBy(const CounterSignature& counter, const PublicKey& key)
{
    return key.verify(asStringView(digestOf(counter)), counter.signature);
}

std::string encode(const Batch& batch)
{
    return encodeVersioned(batch);
}

std::string encode(const Acknowledgement& acknowledgement)
{
    return encodeVersioned(acknowledgement);
}

std::string encode(const LedgerMessage& message)
{
    return encodeVersioned(message);
}

std::string encode(const JournalEntry& entry)
{
    return encodeVersioned(entry);
}

std::string encode(const LedgerCheckpoint& checkpoint)
{
    return encodeVersioned(checkpoint);
}

std::optional<Batch> decodeBatch(std::string_view bytes)
{
    return decodeVersioned<Batch>(bytes);
}

std::optional<Acknowledgement> decodeAcknowledgement(std::string_view bytes)
{
    return decodeVersioned<Acknowledgement>(bytes);
}

std::optional<LedgerMessage> decodeLedgerMessage(std::string_view bytes)
{
    return decodeVersioned<LedgerMessage>(bytes);
}

std::optional<JournalEntry> decodeJournalEntry(std::string_view bytes)
{
    return decodeVersioned<JournalEntry>(bytes);
}

std::optional<LedgerCheckpoint> decodeLedgerCheckpoint(std::string_view bytes)
{
    return decodeVersioned<LedgerCheckpoint>(bytes);
}

} // namespace curranttrail::usage
