#pragma once

#include "control/feed.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace curranttrail::control {

// Number of bytes in one part of a document, the last one excepted.
inline constexpr std::size_t kDocumentPartBytes = 128u << 10;

DocumentDigest digestOf(std::string_view content);

// Returns the part of a document that begins at the given offset.
DocumentPart documentPart(std::uint64_t version, std::string_view content, const DocumentDigest& digest, std::uint64_t offset);

// Collects the parts of a document. They may come from several control instances, and a newer version waits until the one that has begun is
// complete, so that frequent changes cannot keep every one of them from arriving.
class DocumentTransfer {
public:
    // The whole document, once its last part has arrived.
    struct Document {
        std::uint64_t version = 0;
        std::string content;
    };
    struct Incomplete { };
    struct Refused {
        std::string_view reason;
    };
    using Result = std::variant<Incomplete, Document, Refused>;

    // A document with this version is in force.
    void announce(std::uint64_t version);
    // A document with this version was received as a whole.
    void recordReceived(std::uint64_t version);
    bool isNeeded() const { return m_announced > m_received; }
    std::uint64_t announced() const { return m_announced; }
    // The version of the newest document received.
    std::uint64_t received() const { return m_received; }
    DocumentPartRequest nextRequest() const;
    // Takes a part that continues what is held, or that begins a document newer than those received. If the whole does not have its digest,
    // the transfer begins again.
    Result take(const DocumentPart& part);

private:
    void begin(const DocumentPart& part);
    void reset();

    std::uint64_t m_announced = 0;
    std::uint64_t m_received = 0;
    // The document that is being received; version 0 if none.
    std::uint64_t m_version = 0;
    std::uint64_t m_documentBytes = 0;
    DocumentDigest m_digest {};
    std::string m_content;
};

} // namespace curranttrail::control
