#pragma once

#include "main/class_json.h"
#include "main/cli_http.h"
#include "main/cli_settings.h"

#include <boost/json/object.hpp>

#include <functional>
#include <optional>
#include <string>

namespace curranttrail {

// Exit codes of the command line.
enum class CliExit {
    Ok = 0,
    // The request was refused and did not run.
    Refused = 1,
    // The arguments or the settings are wrong.
    Usage = 2,
    // A change may have been accepted.
    Unknown = 3,
    // No instance could be reached.
    Unreachable = 4,
};

// An answer of a control instance.
struct ControlAnswer {
    InstanceName instance;
    unsigned status = 0;
    boost::json::object body;
    // True if the instance knows that its answer is the newest state.
    bool isNewest = false;
};

struct ChangeOutcome {
    CliExit exit = CliExit::Unreachable;
    ConfigurationVersion version;
    std::string message;
};

// Client of the administration API that uses whichever control instances of an owner can be reached.
class CliClient {
public:
    explicit CliClient(const CliSettings& settings)
        : m_settings(settings)
    {
    }

    // Queries the owner's control instances in turn until one answers with the newest state. Otherwise returns the last answer,
    // or nothing if none can be reached.
    std::optional<ControlAnswer> read(const OwnerName& owner, const std::string& path) const;

    // Queries one instance.
    std::optional<ControlAnswer> readFrom(const CliInstance& instance, const std::string& path) const;

    // Sends a change and retries it with the same id, also through other instances, until its outcome is known or the command
    // times out. Calls `log` with a line about each attempt without a final outcome.
    ChangeOutcome change(const OwnerName& owner, const ClassChange& change, const std::function<void(const std::string&)>& log) const;

private:
    transport::HttpRequest request(std::string method, const std::string& path, std::string body) const;

    const CliSettings& m_settings;
};

// Return a member of an answer, or the fallback, 0 or false if it is missing.
std::string textIn(const boost::json::object& object, std::string_view key, const std::string& fallback = "");
std::uint64_t numberIn(const boost::json::object& object, std::string_view key);
bool flagIn(const boost::json::object& object, std::string_view key);

} // namespace curranttrail
