#include "main/document_publisher.h"

#include "control/control_reducer.h"

#include <utility>

namespace curranttrail {

namespace {
    constexpr Micros kUnusedDocumentLifetime { 3'000'000 };
    // Bounds the memory if documents change faster than they can be transferred.
    constexpr std::size_t kMaximumDocuments = 8;
}

DocumentPublisher::DocumentPublisher(transport::EventLoop& loop, ControlRuntime& runtime)
    : m_loop(loop)
    , m_runtime(runtime)
{
}

void DocumentPublisher::fetch(const control::DocumentPartRequest& request, transport::FrameResponder respond)
{
    if (serve(request.version, request.offset, respond))
        return;
    m_waiting.push_back({ request, std::move(respond) });
    if (m_waiting.size() == 1)
        load();
}

void DocumentPublisher::load()
{
    m_runtime.view([this](const control::ControlReducer& reducer, TimePoint) {
        m_loop.post([this, document = reducer.state().document]() mutable { loaded(std::move(document)); });
    });
}

void DocumentPublisher::loaded(control::CommittedDocument document)
{
    const std::uint64_t newest = document.version;
    if (newest != 0 && !m_documents.contains(newest)) {
        if (m_documents.size() >= kMaximumDocuments)
            m_documents.erase(m_documents.begin());
        const control::DocumentDigest digest = control::digestOf(document.content);
        m_documents[newest] = { std::move(document.content), digest, transport::monotonicNow() };
    }
    for (const WaitingFetch& waiting : std::exchange(m_waiting, {})) {
        // The requested version may have been overtaken before anybody fetched it.
        if (!serve(waiting.request.version, waiting.request.offset, waiting.respond) && !serve(newest, 0, waiting.respond))
            waiting.respond(control::encodeDocumentPart({}));
    }
}

bool DocumentPublisher::serve(std::uint64_t version, std::uint64_t offset, const transport::FrameResponder& respond)
{
    const auto it = m_documents.find(version);
    if (it == m_documents.end())
        return false;
    HeldDocument& document = it->second;
    document.lastUse = transport::monotonicNow();
    respond(control::encodeDocumentPart(control::documentPart(version, document.content, document.digest, offset)));
    return true;
}

void DocumentPublisher::tick()
{
    const TimePoint now = transport::monotonicNow();
    std::erase_if(m_documents, [now](const auto& held) { return now - held.second.lastUse >= kUnusedDocumentLifetime; });
}

} // namespace curranttrail
