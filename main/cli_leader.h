#pragma once

#include "main/cli_commands.h"

#include <boost/json/object.hpp>

#include <optional>
#include <string>

namespace curranttrail {

// Sends a request to a coordinator and follows its redirect to the leader. Returns the leader's answer, or nothing after a message to the
// operator; the exit code says then what happened.
std::optional<boost::json::object> askLeader(transport::Endpoint coordinator, const std::string& method, const std::string& path, CliOutput output, CliExit& exit);

} // namespace curranttrail
