#include "main/configuration_selector.h"

#include <algorithm>

namespace curranttrail {

ConfigurationSelector::ConfigurationSelector(DataCentreName dataCentre, Micros peerWindow)
    : m_dataCentre(std::move(dataCentre))
    , m_peerWindow(peerWindow)
{
}

std::shared_ptr<const ClassTable> ConfigurationSelector::handleAnswer(const transport::ConfigurationAnswer& answer, TimePoint now)
{
    bool changed = false;
    const bool isServingPeer = answer.controlOwner.empty() && answer.servingEntry && answer.dataCentre == m_dataCentre;
    for (const auto& [owner, version] : answer.versions) {
        const auto it = answer.classes.find(owner);
        OwnerConfiguration offered { owner, version, {} };
        if (it != answer.classes.end())
            offered = it->second;
        else if (version.value != 0)
            continue; // Not newer than the version that the request named.
        if (hasAccepted(owner) || (answer.leaderWithLease && answer.controlOwner == owner)) {
            changed = adopt(offered) || changed;
            continue;
        }
        if (!isServingPeer)
            continue;
        Window& window = m_windows.try_emplace(owner, Window { now + m_peerWindow, offered }).first->second;
        if (offered.version > window.highest.version)
            window.highest = offered;
    }
    return current(changed);
}

std::shared_ptr<const ClassTable> ConfigurationSelector::tick(TimePoint now)
{
    bool changed = false;
    for (auto it = m_windows.begin(); it != m_windows.end();) {
        if (it->second.endsAt > now) {
            ++it;
            continue;
        }
        changed = adopt(it->second.highest) || changed;
        it = m_windows.erase(it);
    }
    return current(changed);
}

TimePoint ConfigurationSelector::nextWakeup() const
{
    TimePoint next = kNever;
    for (const auto& [owner, window] : m_windows)
        next = std::min(next, window.endsAt);
    return next;
}

transport::VersionTable ConfigurationSelector::versions() const
{
    transport::VersionTable versions;
    for (const auto& [owner, configuration] : m_accepted)
        versions[owner] = configuration.version;
    return versions;
}

bool ConfigurationSelector::adopt(const OwnerConfiguration& configuration)
{
    const auto it = m_accepted.find(configuration.owner);
    if (it != m_accepted.end() && it->second.version >= configuration.version)
        return false;
    m_accepted[configuration.owner] = configuration;
    return true;
}

std::shared_ptr<const ClassTable> ConfigurationSelector::current(bool changed) const
{
    return changed ? std::make_shared<const ClassTable>(m_accepted) : nullptr;
}

} // namespace curranttrail
