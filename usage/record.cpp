#include "usage/record.h"

#include "usage/serialization.h"

#include <fmt/format.h>

#include <algorithm>

namespace curranttrail::usage {

namespace {

    // Domain separation: a signature of one content type is not valid for another.
    constexpr std::string_view kRecordTag = "curranttrail usage record 1";
    constexpr std::string_view kHeadTag = "curranttrail usage head 1";
    constexpr std::string_view kGapTag = "curranttrail usage gap 1";

    template <typename Content>
    Hash taggedHash(std::string_view tag, const Content& content)
    {
        return sha256(std::string { tag } + encodePortable(content));
    }

    std::string_view asStringView(const Hash& hash)
    {
        return { reinterpret_cast<const char*>(hash.data()), hash.size() };
    }

} // namespace

BillableUnits& BillableUnits::operator+=(const BillableUnits& other)
{
    subqueries += other.subqueries;
    serverMicros += other.serverMicros;
    bytes += other.bytes;
    return *this;
}

BillableUnits BillableUnits::saturatingDifference(const BillableUnits& other) const
{
    return { subqueries - std::min(subqueries, other.subqueries), serverMicros - std::min(serverMicros, other.serverMicros), bytes - std::min(bytes, other.bytes) };
}

Hash hashOf(const Record& record)
{
    return taggedHash(kRecordTag, record);
}

Hash hashOf(const Head& head)
{
    return taggedHash(kHeadTag, head);
}

Hash hashOf(const GapNotice& notice)
{
    return taggedHash(kGapTag, notice);
}

SignedRecord signRecord(const Record& record, const PrivateKey& key)
{
    return { record, key.sign(asStringView(hashOf(record))) };
}

SignedHead signHead(const Head& head, const PrivateKey& key)
{
    return { head, key.sign(asStringView(hashOf(head))) };
}

SignedGapNotice signGapNotice(const GapNotice& notice, const PrivateKey& key)
{
    return { notice, key.sign(asStringView(hashOf(notice))) };
}

bool isSignedBy(const SignedRecord& record, const PublicKey& key)
{
    return key.verify(asStringView(hashOf(record.record)), record.signature);
}

bool isSignedBy(const SignedHead& head, const PublicKey& key)
{
    return key.verify(asStringView(hashOf(head.head)), head.signature);
}

bool isSignedBy(const SignedGapNotice& notice, const PublicKey& key)
{
    return key.verify(asStringView(hashOf(notice.notice)), notice.signature);
}

std::string nameOf(const ChainId& chain)
{
    return fmt::format("{}/{}", chain.instance, chain.incarnation);
}

std::string nameOf(const ChainId& chain, std::uint64_t number)
{
    return fmt::format("{}/{}#{}", chain.instance, chain.incarnation, number);
}

} // namespace curranttrail::usage
