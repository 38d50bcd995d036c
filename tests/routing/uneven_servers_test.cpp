#include "policy/latency_quantiles.h"
#include "routing/server_table.h"

#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

using namespace curranttrail;
using namespace curranttrail::routing;

namespace {

constexpr Micros kStep { 500 };
constexpr Micros kSecond { 1'000'000 };
constexpr std::uint32_t kSlots = 2;

// A shard with three servers, one in each data centre, and instances that choose among them with or without what they have learned of
// the servers' capacities. Virtual time.
class UnevenFleet {
public:
    struct Request {
        std::size_t instance = 0;
        AttemptId attempt;
        TimePoint sentAt;
        double workMicros = 0;
        std::uint32_t inFlight = 0;
    };

    struct FakeServer {
        std::string dataCentre;
        // Factor by which all requests take longer, and the one while more than a single request runs.
        double slowness = 1;
        double slownessWhenShared = 1;
        std::vector<Request> running;
        std::deque<Request> waiting;
        std::size_t requests = 0;
    };

    UnevenFleet(bool learns, std::size_t instances, std::uint64_t seed)
        : m_learns(learns)
        , m_random(seed)
    {
        ServerList list;
        for (int n = 0; n < 3; ++n) {
            const std::string name = fmt::format("s{}", n);
            servers[name].dataCentre = fmt::format("dc-{}", n);
            list.push_back({ name, "shard", name, servers[name].dataCentre, kSlots, false, Micros { 0 } });
        }
        for (std::size_t n = 0; n < instances; ++n) {
            m_tables.push_back(std::make_unique<ServerTable>(fmt::format("dc-{}", n % 3), fmt::format("gateway-{}", n)));
            m_tables.back()->apply(list, Micros { 0 }, now);
            for (Server* server : m_tables.back()->serversOf("shard")) {
                server->connectionQuota = server->connections = 6;
                server->idle.push_back({ 1 });
            }
        }
        m_durations.resize(instances);
    }

    void run(double requestsPerSecond, Micros duration)
    {
        for (const TimePoint until = now + duration; now < until; now += kStep) {
            const double expected = requestsPerSecond * std::chrono::duration<double>(kStep).count();
            if (boost::random::uniform_real_distribution<double>(0, 1)(m_random) < expected)
                send();
            for (auto& [name, server] : servers)
                serve(name, server);
        }
    }

    double mean() const { return std::accumulate(m_latencies.begin(), m_latencies.end(), 0.0) / static_cast<double>(m_latencies.size()); }

    double quantile(double share)
    {
        std::sort(m_latencies.begin(), m_latencies.end());
        return m_latencies[static_cast<std::size_t>(share * static_cast<double>(m_latencies.size() - 1))];
    }

    void startCounting()
    {
        m_latencies.clear();
        local = sent = 0;
        for (auto& [name, server] : servers)
            server.requests = 0;
    }

    TimePoint now { kSecond };
    std::map<std::string, FakeServer> servers;
    std::size_t local = 0;
    std::size_t sent = 0;

private:
    static constexpr double kWorkMicros = 8'000;
    static constexpr double kCrossingMicros = 1'800;

    void send()
    {
        const std::size_t instance = boost::random::uniform_int_distribution<std::size_t>(0, m_tables.size() - 1)(m_random);
        WorkEstimate estimate;
        estimate.typical = m_durations[instance].weight() > 0 ? m_durations[instance].median() : Micros { 10'000 };
        estimate.pauseThreshold = Micros { 60'000 };
        Server* server = m_tables[instance]->choose("shard", {}, estimate, m_random, now);
        BOOST_TEST_REQUIRE(server != nullptr);
        const AttemptId attempt { ++m_lastAttempt };
        server->unanswered.emplace(attempt, now);
        FakeServer& fake = servers.at(server->record.instance);
        ++fake.requests;
        ++sent;
        const bool isLocal = server->record.dataCentre == fmt::format("dc-{}", instance % 3);
        local += isLocal ? 1 : 0;
        const double work = kWorkMicros * boost::random::lognormal_distribution<double>(-0.06, 0.35)(m_random);
        fake.waiting.push_back({ instance, attempt, now, work + (isLocal ? 0 : kCrossingMicros), static_cast<std::uint32_t>(server->unanswered.size()) });
    }

    void serve(const std::string& name, FakeServer& fake)
    {
        while (fake.running.size() < kSlots && !fake.waiting.empty()) {
            fake.running.push_back(fake.waiting.front());
            fake.waiting.pop_front();
        }
        const double factor = fake.slowness * (fake.running.size() > 1 ? fake.slownessWhenShared : 1);
        for (Request& request : fake.running)
            request.workMicros -= static_cast<double>(kStep.count()) / factor;
        for (std::size_t n = 0; n < fake.running.size();) {
            if (fake.running[n].workMicros > 0) {
                ++n;
                continue;
            }
            const Request done = fake.running[n];
            fake.running.erase(fake.running.begin() + static_cast<std::ptrdiff_t>(n));
            finish(name, fake, done);
        }
    }

    void finish(const std::string& name, const FakeServer& fake, const Request& request)
    {
        Server& server = *m_tables[request.instance]->find(name);
        const Micros duration = std::chrono::duration_cast<Micros>(now + kStep - request.sentAt);
        m_latencies.push_back(static_cast<double>(duration.count()));
        server.unanswered.erase(request.attempt);
        server.lastReply = now;
        server.load = { static_cast<std::uint32_t>(fake.running.size()), static_cast<std::uint32_t>(fake.waiting.size()), kSlots, 1 };
        server.loadReportedAt = now;
        server.ownAttemptsInLoad = static_cast<std::uint32_t>(server.unanswered.size());
        policy::LatencyQuantiles& durations = m_durations[request.instance];
        if (durations.weight() >= 50) {
            const double ratio = static_cast<double>(duration.count()) / static_cast<double>(durations.median().count());
            server.quality.onDuration(ratio, now);
            if (m_learns)
                server.capacity.onReply(std::max(request.inFlight, 1 + server.load.running + server.load.waiting), ratio, kSlots, now);
        }
        durations.add(duration);
    }

    bool m_learns;
    Random m_random;
    std::vector<std::unique_ptr<ServerTable>> m_tables;
    std::vector<policy::LatencyQuantiles> m_durations;
    std::vector<double> m_latencies;
    std::uint64_t m_lastAttempt = 0;
};

struct Outcome {
    double mean = 0;
    double slowest = 0;
    double local = 0;
    double weakShare = 0;
};

// Returns the mean over several seeds of the latencies, in microseconds, and of the shares of requests in the own data centre and at
// the server s0.
template <typename Weaken>
Outcome measure(bool learns, std::size_t instances, double requestsPerSecond, Weaken weaken)
{
    constexpr int kSeeds = 8;
    Outcome outcome;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        UnevenFleet fleet(learns, instances, seed);
        weaken(fleet);
        fleet.run(requestsPerSecond, 15 * kSecond);
        fleet.startCounting();
        fleet.run(requestsPerSecond, 30 * kSecond);
        outcome.mean += fleet.mean() / kSeeds;
        outcome.slowest += fleet.quantile(0.99) / kSeeds;
        outcome.local += static_cast<double>(fleet.local) / static_cast<double>(fleet.sent) / kSeeds;
        outcome.weakShare += static_cast<double>(fleet.servers["s0"].requests) / static_cast<double>(fleet.sent) / kSeeds;
    }
    BOOST_TEST_MESSAGE(fmt::format("learns={} instances={} per_second={}: mean {:.0f} us, 99% {:.0f} us, local {:.3f}, s0 {:.3f}", learns, instances, requestsPerSecond, outcome.mean, outcome.slowest, outcome.local, outcome.weakShare));
    return outcome;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UnevenServers)

// One server of a shard takes three times as long as soon as two requests share it, although it has two slots. Guards against callers who
// wait for it as if it were half empty, and against requests that leave their data centre more than they need to.
BOOST_AUTO_TEST_CASE(AServerThatSlowsDownBeforeItIsFullGetsLessAtOnce)
{
    const auto weaken = [](UnevenFleet& fleet) { fleet.servers["s0"].slownessWhenShared = 3; };
    for (const auto& [instances, load] : { std::pair { 3U, 120.0 }, std::pair { 3U, 300.0 }, std::pair { 9U, 300.0 } }) {
        const Outcome before = measure(false, instances, load, weaken);
        const Outcome after = measure(true, instances, load, weaken);
        const std::string context = fmt::format("{} instances, {} requests a second", instances, load);
        BOOST_TEST(after.slowest < 0.95 * before.slowest, context << ": 99% " << before.slowest << " -> " << after.slowest);
        BOOST_TEST(after.mean < 0.985 * before.mean, context << ": mean " << before.mean << " -> " << after.mean);
        BOOST_TEST(after.local >= before.local, context << ": local " << before.local << " -> " << after.local);
    }
    // With many instances each sees few of the requests, so that little is found.
    for (const auto& [instances, load] : { std::pair { 28U, 120.0 }, std::pair { 65U, 120.0 } }) {
        const Outcome before = measure(false, instances, load, weaken);
        const Outcome after = measure(true, instances, load, weaken);
        BOOST_TEST(after.slowest <= 1.01 * before.slowest, instances << " instances: 99% " << before.slowest << " -> " << after.slowest);
        BOOST_TEST(after.mean <= 1.005 * before.mean, instances << " instances: mean " << before.mean << " -> " << after.mean);
    }
}

// One server is 1.6 times slower than the others whatever it holds. Guards against a capacity that is taken for too low, or for too high,
// because all its requests take longer.
BOOST_AUTO_TEST_CASE(ASlowServerKeepsItsSlots)
{
    for (const auto& [instances, load] : { std::pair { 3U, 120.0 }, std::pair { 9U, 300.0 } }) {
        const auto slow = [](UnevenFleet& fleet) { fleet.servers["s0"].slowness = 1.6; };
        const Outcome before = measure(false, instances, load, slow);
        const Outcome after = measure(true, instances, load, slow);
        BOOST_TEST(after.slowest <= 1.02 * before.slowest, instances << " instances: 99% " << before.slowest << " -> " << after.slowest);
        BOOST_TEST(after.mean <= 1.005 * before.mean, instances << " instances: mean " << before.mean << " -> " << after.mean);
    }
}

// All servers are equal. Guards against differences that are found where there are none: requests would leave their data centre.
BOOST_AUTO_TEST_CASE(EqualServersAreChosenAsBefore)
{
    for (const auto& [instances, load] : { std::pair { 3U, 120.0 }, std::pair { 28U, 40.0 }, std::pair { 65U, 120.0 } }) {
        const Outcome before = measure(false, instances, load, [](UnevenFleet&) {});
        const Outcome after = measure(true, instances, load, [](UnevenFleet&) {});
        BOOST_TEST(after.local >= before.local - 0.002, instances << " instances: local " << before.local << " -> " << after.local);
        BOOST_TEST(after.slowest <= 1.01 * before.slowest, instances << " instances: 99% " << before.slowest << " -> " << after.slowest);
    }
}

// A server turns slow and recovers. Guards against a choice that goes on for more than a few seconds as if nothing had happened.
BOOST_AUTO_TEST_CASE(AChangeIsFollowedWithinSeconds)
{
    UnevenFleet fleet(true, 3, 17);
    const auto requestsOfWeak = [&fleet](Micros duration) {
        fleet.startCounting();
        fleet.run(150, duration);
        return static_cast<double>(fleet.servers["s0"].requests) / static_cast<double>(fleet.sent);
    };
    fleet.run(150, 15 * kSecond);
    const double usual = requestsOfWeak(10 * kSecond);
    fleet.servers["s0"].slownessWhenShared = 4;
    fleet.servers["s0"].slowness = 2;
    fleet.run(150, 3 * kSecond);
    BOOST_TEST(requestsOfWeak(5 * kSecond) < 0.5 * usual);
    fleet.servers["s0"].slownessWhenShared = 1;
    fleet.servers["s0"].slowness = 1;
    fleet.run(150, 5 * kSecond);
    BOOST_TEST(requestsOfWeak(5 * kSecond) > 0.8 * usual);
}

BOOST_AUTO_TEST_SUITE_END()
