#pragma once

#include "main/cli_client.h"
#include "main/cli_settings.h"
#include "main/timeline.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace curranttrail {

// Where a command writes: results and notes apart, so that results can be piped.
struct CliOutput {
    std::ostream& out;
    std::ostream& err;
};

CliExit listClasses(const CliSettings& settings, const OwnerName& owner, CliOutput output);
CliExit showClass(const CliSettings& settings, const OwnerName& owner, const ClassName& name, CliOutput output);

// Parts that are absent keep their current value.
struct ClassEdit {
    ClassName name;
    std::optional<CollectionName> collection;
    std::optional<double> percentile;
    std::optional<double> latencyMs;
    std::optional<double> minimumCoverage;
    std::optional<bool> repeatable;
    std::optional<std::uint64_t> expectedVersion;
    std::optional<std::string> changeId;
    // Wait until the change is in force everywhere.
    bool wait = false;
};

CliExit setClass(const CliSettings& settings, const ClassEdit& edit, CliOutput output);
CliExit showStatus(const CliSettings& settings, CliOutput output);
// Without a class, the owner's newest configuration version.
CliExit showWhere(const CliSettings& settings, const OwnerName& owner, const ClassName& name, CliOutput output);

struct TimelineOptions {
    TimelineFilter filter;
    // Files of logs; if there are none, all instances in the settings are asked.
    std::vector<std::string> logs;
    // Where the page is written; empty for text on the output.
    std::string htmlFile;
};

CliExit showTimeline(const CliSettings& settings, const TimelineOptions& options, CliOutput output);

} // namespace curranttrail
