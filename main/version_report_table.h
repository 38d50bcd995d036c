#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "transport/control_protocol.h"

#include <map>
#include <mutex>
#include <vector>

namespace curranttrail {

// Configuration versions that the entry instances of one data centre use.
struct DataCentreVersions {
    DataCentreName dataCentre;
    std::size_t reporting = 0;
    // Number of reporting instances by owner of the configuration and by version.
    std::map<OwnerName, std::map<std::uint64_t, std::size_t>> versions;
    // Instances whose last report has timed out, oldest report first.
    std::vector<InstanceName> notReporting;
};

// The configuration versions that entry instances report to this control instance. May be used from any thread.
class VersionReportTable {
public:
    // Five times the report interval, so that one lost connection does not mark an instance as not reporting.
    static constexpr Micros kReportTimeout { 5'000'000 };
    // An instance that does not report is listed for this long and then removed.
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
