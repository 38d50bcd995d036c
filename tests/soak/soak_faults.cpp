// The faults that a soak run injects.
#include "tests/soak/soak_harness.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace curranttrail::soak {

using std::chrono::milliseconds;

namespace {
    constexpr std::size_t kCoordinators = CoordinatorGroup::kMembers;
    // Time after which a coordinator that is new or has lost its data folder no longer counts as lost.
    constexpr milliseconds kCatchUp { 4'000 };
    constexpr const char* kLinkModes[] { "hold", "drop", "cut", "delay", "hold_replies", "pass" };

    enum class Replacement {
        ByPlan,
        AfterLoss,
        WithoutNotice,
    };
    constexpr const char* kReplacementNames[] { "replaced_by_plan", "replaced_after_loss", "replaced_without_notice" };
}

void SoakHarness::countFault(const std::string& kind)
{
    const std::lock_guard lock(m_mutex);
    ++m_faults[kind];
}

void SoakHarness::freeze(ChildProcess& process, Random& random)
{
    process.signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds { 200 + random() % 1'500 });
    process.signal(SIGCONT);
}

void SoakHarness::restart(ChildProcess& process, int number, Random& random)
{
    process.signal(number);
    if (!process.waitForExit(kDrainGrace + milliseconds { 2'000 }) && number == SIGTERM)
        addViolation("a process did not exit within the drain grace after SIGTERM");
    std::this_thread::sleep_for(milliseconds { random() % 600 });
    process.start();
}

void SoakHarness::injectCoordinatorFault()
{
    static constexpr const char* kFaultKinds[] { "kill_coordinator", "freeze_coordinator", "stop_coordinator", "wipe_coordinator", "reload_coordinator", "replace_coordinator", "final_fault" };
    const std::string kind = kFaultKinds[randomBelow(std::size(kFaultKinds))];
    countFault(kind);
    const std::size_t member = randomBelow(kCoordinators);
    ChildProcess& process = m_coordinators->processOf(member);
    if (kind == "kill_coordinator") {
        restart(process, SIGKILL, m_random);
    } else if (kind == "freeze_coordinator") {
        freeze(process, m_random);
    } else if (kind == "stop_coordinator") {
        restart(process, SIGTERM, m_random);
    } else if (kind == "wipe_coordinator") {
        // Waits for the repair afterwards, so that at most one data folder is lost at a time.
        m_coordinators->destroy(member);
        process.start();
        m_caughtUpAt = std::chrono::steady_clock::now() + kCatchUp;
        std::this_thread::sleep_for(milliseconds { 3'000 });
    } else if (kind == "reload_coordinator") {
        process.signal(SIGHUP);
    } else if (kind == "replace_coordinator") {
        replaceCoordinator(member);
        if (randomBelow(2) == 0)
            injectFinalFault();
    } else {
        injectFinalFault();
    }
}

// Starts a successor and ends the member's process: with SIGTERM or without notice once the successor has caught up, or before.
void SoakHarness::replaceCoordinator(std::size_t member)
{
    if (!m_coordinators->canReplace())
        return;
    std::this_thread::sleep_until(m_caughtUpAt);
    const auto replacement = static_cast<Replacement>(randomBelow(m_options.withoutNotice ? 3 : 2));
    countFault(kReplacementNames[static_cast<std::size_t>(replacement)]);
    if (replacement == Replacement::AfterLoss) {
        m_coordinators->processOf(member).signal(SIGKILL);
        std::this_thread::sleep_for(milliseconds { 100 + randomBelow(1'000) });
    }
    m_coordinators->startSuccessor();
    std::this_thread::sleep_for(kCatchUp);
    const bool isPlanned = replacement == Replacement::ByPlan;
    if (!m_coordinators->retire(member, isPlanned ? SIGTERM : SIGKILL, kDrainGrace + milliseconds { 2'000 }) && isPlanned)
        addViolation("a replaced coordinator did not exit within the drain grace after SIGTERM");
    const std::lock_guard lock(m_gatewayFaultMutex);
    writeSettings(false);
}

// Kills all processes right after an acknowledgement, one of them with the loss of its data folder, and starts them in any order.
void SoakHarness::injectFinalFault()
{
    std::this_thread::sleep_until(m_caughtUpAt);
    const std::lock_guard lock(m_gatewayFaultMutex);
    const std::uint64_t before = m_acceptedVersion;
    clearFaults();
    for (int n = 0; n < 1'000 && m_acceptedVersion == before; ++n)
        std::this_thread::sleep_for(milliseconds { 1 });
    std::this_thread::sleep_for(milliseconds { randomBelow(2) * randomBelow(400) });
    std::vector<std::pair<milliseconds, ChildProcess*>> returns;
    for (std::size_t n = 0; n < kCoordinators; ++n)
        returns.emplace_back(0, &m_coordinators->processOf(n));
    for (ChildProcess& process : m_gateways)
        returns.emplace_back(0, &process);
    for (auto& [delay, process] : returns) {
        process->signal(SIGKILL);
        delay = milliseconds { 100 + randomBelow(2'900) };
    }
    m_coordinators->destroy(randomBelow(kCoordinators));
    std::sort(returns.begin(), returns.end());
    const std::chrono::steady_clock::time_point killedAt = std::chrono::steady_clock::now();
    for (const auto& [delay, process] : returns) {
        process->waitForExit(kDrainGrace);
        std::this_thread::sleep_until(killedAt + delay);
        process->start();
    }
    m_caughtUpAt = std::chrono::steady_clock::now() + kCatchUp;
    checkRecovery("a final fault");
}

void SoakHarness::injectGatewayFault(Random& random)
{
    static constexpr const char* kFaultKinds[] { "kill_gateway", "freeze_gateway", "stop_gateway", "reload_gateway", "link", "server" };
    const std::string kind = kFaultKinds[random() % std::size(kFaultKinds)];
    countFault(kind);
    const std::lock_guard lock(m_gatewayFaultMutex);
    ChildProcess& gateway = m_gateways[random() % m_gateways.size()];
    if (kind == "kill_gateway") {
        restart(gateway, SIGKILL, random);
    } else if (kind == "freeze_gateway") {
        freeze(gateway, random);
    } else if (kind == "stop_gateway") {
        restart(gateway, SIGTERM, random);
    } else if (kind == "reload_gateway") {
        gateway.signal(SIGHUP);
    } else if (kind == "link") {
        setLink(random() % m_linkModes.size(), kLinkModes[random() % std::size(kLinkModes)]);
    } else {
        stand_ins::ServerBehaviour behaviour;
        behaviour.serviceTime = Micros { static_cast<std::int64_t>(1'000 + (random() % 60'000)) };
        behaviour.rejectedPercent = static_cast<unsigned>((random() % 3) * 15);
        behaviour.wrongRequestIdPercent = static_cast<unsigned>((random() % 3) * 10);
        behaviour.abortedPercent = static_cast<unsigned>((random() % 2) * 5);
        // Draws no number, so that the earlier seeds keep their faults.
        behaviour.ownStatusPercent = static_cast<unsigned>(behaviour.serviceTime.count() % 3 * 10);
        behaviour.leaving = random() % 6 == 0;
        const std::size_t server = random() % m_servers.size();
        m_servers.set(server, behaviour);
        if (random() % 3 == 0)
            m_servers.restart(server);
    }
}

} // namespace curranttrail::soak
