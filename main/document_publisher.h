#pragma once

#include "control/document_transfer.h"
#include "main/control_runtime.h"
#include "transport/frame_link.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace curranttrail {

// Sends parts of committed documents to entry instances. All of them share one copy of each document, which is kept until its transfers have
// ended, also if a newer one is committed meanwhile. Functions run on the event loop's thread.
class DocumentPublisher {
public:
    DocumentPublisher(transport::EventLoop& loop, ControlRuntime& runtime);

    void fetch(const control::DocumentPartRequest& request, transport::FrameResponder respond);
    // Drops documents that nobody has asked for lately.
    void tick();

private:
    struct HeldDocument {
        std::string content;
        control::DocumentDigest digest {};
        TimePoint lastUse;
    };
    struct WaitingFetch {
        control::DocumentPartRequest request;
        transport::FrameResponder respond;
    };

    void load();
    void loaded(control::CommittedDocument document);
    bool serve(std::uint64_t version, std::uint64_t offset, const transport::FrameResponder& respond);

    transport::EventLoop& m_loop;
    ControlRuntime& m_runtime;
    std::map<std::uint64_t, HeldDocument> m_documents;
    // Requests that wait for the newest document to be read from the control state.
    std::vector<WaitingFetch> m_waiting;
};

} // namespace curranttrail
