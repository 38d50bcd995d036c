#include "routing/reply_classification.h"

namespace curranttrail::routing {

namespace {
    constexpr unsigned kStatusMisdirectedRequest = 421;
}

ReplyKind classifyReply(const ReplyHead& head, std::string_view requestId)
{
    // A late reply carries the id of an earlier request and must not count for this one.
    if (head.requestId && *head.requestId != requestId)
        return ReplyKind::Unusable;
    if (head.status == kStatusMisdirectedRequest)
        return ReplyKind::WrongInstance;
    if (head.notExecuted)
        return ReplyKind::NotExecuted;
    const bool success = head.status >= 200 && head.status < 300;
    if (!success)
        return head.stamp ? ReplyKind::Failure : ReplyKind::Unusable;
    return head.stamp && !head.encoded ? ReplyKind::Success : ReplyKind::Unusable;
}

} // namespace curranttrail::routing
