#include "control/document_transfer.h"

#include "control/state_machine.h"

#include <openssl/sha.h>

#include <algorithm>
#include <utility>

namespace curranttrail::control {

DocumentDigest digestOf(std::string_view content)
{
    DocumentDigest digest {};
    static_assert(digest.size() == SHA256_DIGEST_LENGTH);
    SHA256(reinterpret_cast<const unsigned char*>(content.data()), content.size(), digest.data());
    return digest;
}

DocumentPart documentPart(std::uint64_t version, std::string_view content, const DocumentDigest& digest, std::uint64_t offset)
{
    const std::uint64_t begin = std::min<std::uint64_t>(offset, content.size());
    return { version, content.size(), digest, begin, std::string { content.substr(begin, kDocumentPartBytes) } };
}

void DocumentTransfer::announce(std::uint64_t version)
{
    m_announced = std::max(m_announced, version);
}

void DocumentTransfer::recordReceived(std::uint64_t version)
{
    announce(version);
    m_received = std::max(m_received, version);
    if (m_version <= m_received)
        reset();
}

DocumentPartRequest DocumentTransfer::nextRequest() const
{
    return { m_version == 0 ? m_announced : m_version, m_content.size() };
}

DocumentTransfer::Result DocumentTransfer::take(const DocumentPart& part)
{
    if (part.version <= m_received)
        return Refused { "the document is not newer than the one held" };
    if (part.documentBytes > kMaximumDocumentBytes)
        return Refused { "the document is larger than allowed" };
    if (part.version != m_version || part.documentBytes != m_documentBytes || part.digest != m_digest)
        begin(part);
    if (part.offset != m_content.size() || part.content.empty() || part.content.size() > m_documentBytes - m_content.size())
        return Refused { "the part does not continue what is held" };
    m_content += part.content;
    if (m_content.size() < m_documentBytes)
        return Incomplete {};
    if (digestOf(m_content) != m_digest) {
        reset();
        return Refused { "the document does not have its digest" };
    }
    Document document { m_version, std::move(m_content) };
    recordReceived(document.version);
    return document;
}

void DocumentTransfer::begin(const DocumentPart& part)
{
    announce(part.version);
    m_version = part.version;
    m_documentBytes = part.documentBytes;
    m_digest = part.digest;
    m_content.clear();
    m_content.reserve(m_documentBytes);
}

void DocumentTransfer::reset()
{
    m_version = 0;
    m_documentBytes = 0;
    m_content = {};
}

} // namespace curranttrail::control
