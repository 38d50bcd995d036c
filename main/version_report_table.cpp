#include "main/version_report_table.h"

#include <algorithm>

namespace curranttrail {

namespace {

    // Bounds the memory that reports with arbitrary instance names can take.
    constexpr std::size_t kMaximumInstances = 16'384;

} // namespace

void VersionReportTable::record(const transport::ReportVersions& report, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_reports, [now](const auto& entry) { return now - entry.second.at > kReportRetention; });
    if (m_reports.size() < kMaximumInstances || m_reports.contains(report.instance))
        m_reports[report.instance] = { report, now };
}

std::vector<DataCentreVersions> VersionReportTable::summary(TimePoint now) const
{
    std::map<DataCentreName, DataCentreVersions> centres;
    std::vector<const Report*> notReporting;
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, entry] : m_reports) {
        DataCentreVersions& centre = centres[entry.report.dataCentre];
        centre.dataCentre = entry.report.dataCentre;
        if (now - entry.at > kReportTimeout) {
            notReporting.push_back(&entry);
            continue;
        }
        ++centre.reporting;
        for (const auto& [owner, version] : entry.report.inForce)
            ++centre.versions[owner][version.value];
    }
    std::sort(notReporting.begin(), notReporting.end(), [](const Report* a, const Report* b) { return a->at < b->at; });
    for (const Report* entry : notReporting)
        centres[entry->report.dataCentre].notReporting.push_back(entry->report.instance);
    std::vector<DataCentreVersions> result;
    result.reserve(centres.size());
    for (auto& [name, centre] : centres)
        result.push_back(std::move(centre));
    return result;
}

} // namespace curranttrail
