#include "main/cli_leader.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <ostream>

namespace curranttrail {

namespace json = boost::json;

namespace {
    std::string crashLine(const json::object& request)
    {
        std::string line = fmt::format("{}  {}  last arrival {} s ago\n", textIn(request, "fingerprint"), textIn(request, "standing"), numberIn(request, "arrival_age_ms") / 1000);
        const json::value* ends = request.if_contains("ends");
        if (!ends || !ends->is_array())
            return line;
        for (const json::value& value : ends->get_array()) {
            if (const json::object* end = value.if_object())
                line += fmt::format("    {} s ago  {} of {} ended; reported by {}{}\n", numberIn(*end, "age_ms") / 1000, textIn(*end, "server"), textIn(*end, "collection"), textIn(*end, "reporter"), flagIn(*end, "answered_since") ? "; answered since" : "");
        }
        return line;
    }
} // namespace

CliExit listCrashes(const transport::Endpoint& coordinator, CliOutput output)
{
    CliExit exit = CliExit::Ok;
    const std::optional<json::object> answer = askLeader(coordinator, "GET", "/v1/crashes", output, exit);
    if (!answer)
        return exit;
    const json::value* requests = answer->if_contains("requests");
    if (!requests || !requests->is_array()) {
        output.err << "malformed answer: no list of requests\n";
        return CliExit::Refused;
    }
    for (const json::value& request : requests->get_array()) {
        if (const json::object* object = request.if_object())
            output.out << crashLine(*object);
    }
    return CliExit::Ok;
}

CliExit releaseRequest(const transport::Endpoint& coordinator, const std::string& fingerprint, CliOutput output)
{
    CliExit exit = CliExit::Ok;
    if (!askLeader(coordinator, "DELETE", "/v1/crashes/" + fingerprint, output, exit))
        return exit;
    output.out << fmt::format("released: {}\n", fingerprint);
    return CliExit::Ok;
}

} // namespace curranttrail
