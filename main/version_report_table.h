#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "transport/control_protocol.h"

#include <map>
#include <mutex>
#include <vector>

namespace curranttrail {

// How many entry instances of one data centre have which versions in force.
struct DataCentreVersions {
    DataCentreName dataCentre;
    std::size_t reporting = 0;
    // By owner of the configuration: number of reporting instances by version.
    std::map<OwnerName, std::map<std::uint64_t, std::size_t>> versions;
    // Instances that reported before and have not lately, oldest report first.
    std::vector<InstanceName> notReporting;
};

// What entry instances reported to this control instance. May be used from any thread.
class VersionReportTable {
public:
    // Five times the interval of the reports, so that one lost connection does not make an instance silent.
    static constexpr Micros kReportTimeout { 5'000'000 };
    // A silent instance is shown for this long, then taken as removed.
    static constexpr Micros kReportRetention { 600'000'000 };

    void record(const transport::ReportVersions& report, TimePoint now);
    std::vector<DataCentreVersions> summary(TimePoint now) const;

private:
    struct Report {
        transport::ReportVersions report;
        TimePoint at;
    };

    mutable std::mutex m_mutex;
    std::map<InstanceName, Report> m_reports;
};

} // namespace curranttrail
