#include "routing/reply_classification.h"

namespace curranttrail::routing {

namespace {
    constexpr unsigned kStatusMisdirectedRequest = 421;
}

ReplyKind classifyReply(const ReplyHeader& header, std::string_view requestId)
{
    // A late reply carries the id of an earlier request and must not count for this one.
    if (header.requestId && *header.requestId != requestId)
        return ReplyKind::Unusable;
    if (header.status == kStatusMisdirectedRequest)
        return header.notExecuted ? ReplyKind::WrongInstance : ReplyKind::PossiblyWrongInstance;
    if (header.notExecuted)
        return ReplyKind::NotExecuted;
    const bool success = header.status >= 200 && header.status < 300;
    if (!success)
        return header.stamp ? ReplyKind::Failure : ReplyKind::Unusable;
    return header.stamp && !header.encoded ? ReplyKind::Success : ReplyKind::Unusable;
}

} // namespace curranttrail::routing
