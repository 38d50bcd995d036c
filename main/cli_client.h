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
    // Whether the instance knows its answer to be the newest.
    bool newest = false;
};

struct ChangeOutcome {
    CliExit exit = CliExit::Unreachable;
    ConfigurationVersion version;
    std::string message;
};

// Talks to the control instances of one owner through whichever of them can be reached.
class CliClient {
public:
    explicit CliClient(const CliSettings& settings)
        : m_settings(settings)
    {
    }

    // Asks the owner's control instances in turn until one answers that it knows the newest state; else returns the last
    // answer. Nothing if none can be reached.
    std::optional<ControlAnswer> read(const OwnerName& owner, const std::string& path) const;

    // Asks one instance.
    std::optional<ControlAnswer> readFrom(const CliInstance& instance, const std::string& path) const;

    // Sends a change and sends it again with the same id, through other instances too, until its outcome is known or the
    // time for a command is over. The note is called with a line about each try that failed.
    ChangeOutcome change(const OwnerName& owner, const ClassChange& change, const std::function<void(const std::string&)>& log) const;

private:
    transport::HttpRequest request(std::string method, const std::string& path, std::string body) const;

    const CliSettings& m_settings;
};

// Reads a member of an answer; the fallback stands for a missing one.
std::string textIn(const boost::json::object& object, std::string_view key, const std::string& fallback = "");
std::uint64_t numberIn(const boost::json::object& object, std::string_view key);
bool flagIn(const boost::json::object& object, std::string_view key);

} // namespace curranttrail
