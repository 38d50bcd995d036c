#pragma once

#include "core/ids.h"
#include "core/verdict.h"
#include "transport/http_server.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace curranttrail {

// A refusal whose body says whether what was asked has run.
transport::HttpResponse refusal(unsigned status, std::string_view error, std::string_view message, Verdict verdict = Verdict::NotRun);

// A refusal that is to be retried soon.
transport::HttpResponse temporaryRefusal(std::string_view error, std::string_view message, Verdict verdict = Verdict::NotRun);

// A redirect to the same path at the leader, or a refusal to be retried if no leader is known. The port is the one of the operators' API,
// which is the same on all control instances.
transport::HttpResponse redirectToLeader(const std::optional<InstanceName>& leader, std::uint16_t port, std::string_view path);

} // namespace curranttrail
