#include "main/cli_leader.h"
#include "platform/http_names.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <ostream>

namespace curranttrail {

namespace json = boost::json;

CliExit listEvacuations(const transport::Endpoint& coordinator, CliOutput output)
{
    CliExit exit = CliExit::Ok;
    const std::optional<json::object> answer = askLeader(coordinator, "GET", std::string { platform::kEvacuationPath }, output, exit);
    if (!answer)
        return exit;
    const json::value* rows = answer->if_contains("evacuated");
    if (!rows || !rows->is_array()) {
        output.err << "malformed answer: no list of data centres\n";
        return CliExit::Refused;
    }
    for (const json::value& row : rows->get_array()) {
        if (const json::object* object = row.if_object())
            output.out << fmt::format("{}  evacuated  {} servers listed\n", textIn(*object, "data_centre"), numberIn(*object, "servers"));
    }
    return CliExit::Ok;
}

CliExit orderEvacuation(const transport::Endpoint& coordinator, const DataCentreName& dataCentre, bool isEvacuated, CliOutput output)
{
    CliExit exit = CliExit::Ok;
    if (!askLeader(coordinator, isEvacuated ? "POST" : "DELETE", fmt::format("{}/{}", platform::kEvacuationPath, dataCentre), output, exit))
        return exit;
    output.out << fmt::format("accepted: {} {}\n", dataCentre, isEvacuated ? "is evacuated" : "is not evacuated");
    return CliExit::Ok;
}

} // namespace curranttrail
