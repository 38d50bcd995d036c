#pragma once

#include "main/cli_client.h"
#include "main/cli_settings.h"
#include "main/timeline.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace curranttrail {

// Output streams of a command. Results and messages are separate, so that results can be piped.
struct CliOutput {
    std::ostream& out;
    std::ostream& err;
};

CliExit listClasses(const CliSettings& settings, const OwnerName& owner, CliOutput output);
CliExit showClass(const CliSettings& settings, const OwnerName& owner, const ClassName& name, CliOutput output);

// A change of a class. Absent fields keep their current value.
struct ClassEdit {
    ClassName name;
    std::optional<CollectionName> collection;
    std::optional<double> percentile;
    std::optional<double> latencyMs;
    std::optional<double> minimumCoverage;
    std::optional<bool> repeatable;
    std::optional<std::uint64_t> expectedVersion;
    std::optional<std::string> changeId;
    // True to wait until the change is in force everywhere.
    bool wait = false;
};

CliExit setClass(const CliSettings& settings, const ClassEdit& edit, CliOutput output);
CliExit showStatus(const CliSettings& settings, CliOutput output);
// Shows where a class, or without a class the owner's newest configuration version, is in force.
CliExit showWhere(const CliSettings& settings, const OwnerName& owner, const ClassName& name, CliOutput output);

// Shows the requests under which servers ended, or lets one of them run again. The address is that of any coordinator's API; a redirect
// to the leader is followed.
CliExit listCrashes(const transport::Endpoint& coordinator, CliOutput output);
CliExit releaseRequest(const transport::Endpoint& coordinator, const std::string& fingerprint, CliOutput output);

struct ConfigurationCheck {
    // The document that is to be sent.
    std::string file;
    // Where the document in force is read, to show what would change: any coordinator's API, or a file. Neither is needed.
    std::optional<transport::Endpoint> coordinator;
    std::string inForceFile;
};

// Shows the errors of a configuration document, entries that never match, limits that contradict each other and what it would change.
CliExit checkConfiguration(const ConfigurationCheck& check, CliOutput output);

// Shows the evacuated data centres, orders the evacuation of one or withdraws it. An order may be repeated.
CliExit listEvacuations(const transport::Endpoint& coordinator, CliOutput output);
CliExit orderEvacuation(const transport::Endpoint& coordinator, const DataCentreName& dataCentre, bool isEvacuated, CliOutput output);

struct TimelineOptions {
    TimelineFilter filter;
    // Log files; if there are none, the events are fetched from all instances in the settings.
    std::vector<std::string> logs;
    // File for the HTML page; if empty, text is written to the output.
    std::string htmlFile;
};

CliExit showTimeline(const CliSettings& settings, const TimelineOptions& options, CliOutput output);

} // namespace curranttrail
