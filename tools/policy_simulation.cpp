#include "tools/policy_simulation.h"

#include <algorithm>
#include <cmath>
#include <set>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <fmt/format.h>

namespace curranttrail::tools {

namespace {

    constexpr Micros kWarmUpTime { 1'000'000 };
    constexpr Micros kSettleTime { 2'500'000 };
    constexpr Micros kReportPeriod { 500'000 };
    constexpr Micros kMeanServiceTime { 4'000 };
    constexpr Micros kAnswerGrace { 50'000 };
    constexpr UnixMillis kWallClockBase = 1'700'000'000'000;

    UnixMillis wallClock(TimePoint now)
    {
        return kWallClockBase + std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    }

    KeyRange rangeOf(std::size_t index, std::size_t shards, double shift)
    {
        const double width = static_cast<double>(kWholeKeySpace.end) / static_cast<double>(shards);
        const auto border = [&](std::size_t n) -> std::uint64_t {
            if (n == 0)
                return 0;
            if (n == shards)
                return kWholeKeySpace.end;
            return static_cast<std::uint64_t>(width * (static_cast<double>(n) + shift));
        };
        return { border(index), border(index + 1) };
    }

    query::ShardRange shardBeforeRepartition(std::size_t index, std::size_t shards)
    {
        return { fmt::format("s{:02}", index), rangeOf(index, shards, 0.0) };
    }

} // namespace

query::ShardRange PolicySimulation::shardAfterRepartition(std::size_t index, std::size_t shards)
{
    return { fmt::format("r{:02}", index), rangeOf(index, shards, 1.0 / 3) };
}

void ClassFigures::add(const ClassFigures& other)
{
    latencies.insert(latencies.end(), other.latencies.begin(), other.latencies.end());
    coverageSum += other.coverageSum;
    arrived += other.arrived;
    answered += other.answered;
    refusedBeforeWork += other.refusedBeforeWork;
    refusedAfterWork += other.refusedAfterWork;
    plannedSubqueries += other.plannedSubqueries;
    started += other.started;
    usefulServerTime += other.usefulServerTime;
    capacity += other.capacity;
    duplicateRuns += other.duplicateRuns;
    falseCoverage += other.falseCoverage;
}

void Violations::add(const Violations& other)
{
    unanswered += other.unanswered;
    falseNotRun += other.falseNotRun;
    connectionsAboveLimit += other.connectionsAboveLimit;
    workForLeavingServer += other.workForLeavingServer;
}

void RunFigures::add(const RunFigures& other)
{
    for (const auto& [name, figures] : other.classes)
        classes[name].add(figures);
    violations.add(other.violations);
}

PolicySimulation::PolicySimulation(const Deployment& deployment, const Scenario& scenario, PolicyKind kind, std::uint64_t seed)
    : m_deployment(deployment)
    , m_scenario(scenario)
    , m_random(seed)
{
    m_measureFrom = TimePoint(kWarmUpTime);
    m_end = m_measureFrom + scenario.duration;
    addCollection(deployment.mainCollection, true);
    addCollection(deployment.nonRepeatableCollection, false);
    addEntries(kind, seed);
    scheduleReports();
    scheduleArrivals(deployment.urgent, deployment.mainCollection, scenario.urgentLoad, true);
    scheduleArrivals(deployment.ordinary, deployment.mainCollection, scenario.ordinaryLoad, false);
    scheduleArrivals(deployment.nonRepeatable, deployment.nonRepeatableCollection, 0.1, false);
    for (const Fault& fault : scenario.faults)
        at(fault.at == Micros(0) ? TimePoint() : m_measureFrom + fault.at, [this, &fault] { apply(fault); });
}

void PolicySimulation::at(TimePoint when, std::function<void()> action)
{
    m_timeline.push({ when, m_order++, std::move(action) });
}

double PolicySimulation::uniform()
{
    return boost::random::uniform_01<double>()(m_random);
}

RunFigures PolicySimulation::run()
{
    const TimePoint last = m_end + kSettleTime;
    while (!m_timeline.empty() && m_timeline.top().at <= last) {
        const ScheduledAction next = m_timeline.top();
        m_timeline.pop();
        m_now = next.at;
        next.action();
    }
    for (const auto& [number, query] : m_queries) {
        if (!query.ended)
            ++m_figures.violations.unanswered;
    }
    return std::move(m_figures);
}

void PolicySimulation::addCollection(const CollectionShape& shape, bool inMainCollection)
{
    for (std::size_t shard = 0; shard < shape.shards; ++shard) {
        for (std::size_t replica = 0; replica < shape.replicas; ++replica) {
            Server server;
            server.listed.server = { m_servers.size() + 1 };
            server.listed.name = fmt::format("{}-{}-{}", shape.name, shard, replica);
            server.dataCentre = (shard + replica) % m_deployment.dataCentres;
            server.listed.dataCentre = fmt::format("dc{}", server.dataCentre);
            server.listed.owner = m_deployment.name;
            server.listed.collection = shape.name;
            server.listed.slots = 2;
            server.listed.connectionLimit = shape.connectionLimit;
            server.service = shard;
            server.inMainCollection = inMainCollection;
            server.connectionSetup = shape.connectionSetup;
            server.held.push_back({ { 1 }, shardBeforeRepartition(shard, shape.shards) });
            m_servers.push_back(std::move(server));
        }
    }
}

void PolicySimulation::addEntries(PolicyKind kind, std::uint64_t seed)
{
    query::EntryInstancesChanged instances;
    for (std::size_t n = 0; n < m_deployment.entryInstances; ++n)
        instances.instances.push_back(fmt::format("entry-{}", n));
    ClassTable table;
    OwnerConfiguration& configuration = table[m_deployment.name];
    configuration.owner = m_deployment.name;
    configuration.version = { 1 };
    for (const ClassLoad* load : { &m_deployment.urgent, &m_deployment.ordinary, &m_deployment.nonRepeatable })
        configuration.classes[load->target.name] = load->target;
    const auto classes = std::make_shared<const ClassTable>(std::move(table));

    for (std::size_t n = 0; n < m_deployment.entryInstances; ++n) {
        query::EntryOptions options;
        options.name = instances.instances[n];
        options.owner = m_deployment.name;
        options.dataCentre = fmt::format("dc{}", n % m_deployment.dataCentres);
        options.seed = seed * 1000 + n;
        PolicyClient client = kind == PolicyKind::Baseline ? PolicyClient(std::make_unique<BaselineClient>(options.seed))
                                                           : PolicyClient(std::make_unique<query::EntryReducer>(options));
        m_entries.push_back(Entry { n % m_deployment.dataCentres, std::move(client), {}, kNever });
    }
    for (std::size_t n = 0; n < m_entries.size(); ++n) {
        instances.self = instances.instances[n];
        at(TimePoint(), [this, n, instances, classes] {
            deliver(n, instances);
            deliver(n, query::ConfigurationChanged { classes });
        });
    }
    at(TimePoint(), [this] { sendServerList(Micros(0)); });
}

void PolicySimulation::scheduleArrivals(const ClassLoad& load, const CollectionShape& shape, double share, bool urgent)
{
    ClassFigures& figures = m_figures.classes[load.target.name];
    const double slots = static_cast<double>(shape.shards * shape.replicas * 2);
    const double queriesPerMicro = share * slots / static_cast<double>(kMeanServiceTime.count()) / static_cast<double>(shape.shards);
    figures.capacity = m_scenario.duration * static_cast<std::int64_t>(slots);
    if (queriesPerMicro <= 0)
        return;
    // Each arrival schedules the next one, so that the rate can change during the run.
    auto arrival = std::make_shared<std::function<void()>>();
    *arrival = [this, &load, &figures, queriesPerMicro, urgent, weak = std::weak_ptr(arrival)] {
        const std::size_t entry = boost::random::uniform_int_distribution<std::size_t>(0, m_entries.size() - 1)(m_random);
        const std::string requestId = load.target.repeatable ? std::string() : fmt::format("{}-{}", load.target.name, m_nextQuery);
        submitQuery(load, figures, entry, requestId, 0);
        if (!requestId.empty() && uniform() < 0.05) {
            // Some callers send the same request again early, through the same or another instance.
            const std::size_t other = uniform() < 0.5 ? entry : (entry + 1) % m_entries.size();
            after(Micros(1'000), [this, &load, &figures, other, requestId] { submitQuery(load, figures, other, requestId, 1); });
        }
        const double rate = queriesPerMicro * (urgent ? m_urgentFactor : 1.0);
        const Micros gap { static_cast<std::int64_t>(boost::random::exponential_distribution<double>(rate)(m_random)) };
        if (m_now + gap < m_end)
            after(gap, [shared = weak.lock()] { (*shared)(); });
    };
    at(TimePoint(Micros(300'000)), [arrival] { (*arrival)(); });
}

void PolicySimulation::scheduleReports()
{
    for (std::size_t n = 0; n < m_entries.size(); ++n) {
        for (const Server& server : m_servers) {
            const Micros first { static_cast<std::int64_t>(uniform() * 100'000) };
            auto poll = std::make_shared<std::function<void()>>();
            *poll = [this, n, &server, weak = std::weak_ptr(poll)] {
                sendReport(n, server);
                if (m_now < m_end + kSettleTime)
                    after(kReportPeriod, [shared = weak.lock()] { (*shared)(); });
            };
            at(TimePoint(first), [poll] { (*poll)(); });
        }
    }
}

void PolicySimulation::deliver(std::size_t n, const query::Event& event)
{
    Entry& entry = m_entries[n];
    const std::vector<query::Effect> effects = std::visit([&](auto& client) { return client->handle(event, m_now); }, entry.client);
    for (const query::Effect& effect : effects)
        std::visit([&](const auto& typed) { perform(n, typed); }, effect);
    const TimePoint wakeup = std::max(std::visit([](const auto& client) { return client->nextWakeup(); }, entry.client), m_now + Micros(1));
    if (wakeup < entry.tickAt && wakeup < m_end + kSettleTime) {
        entry.tickAt = wakeup;
        at(wakeup, [this, n, wakeup] {
            if (m_entries[n].tickAt != wakeup)
                return;
            m_entries[n].tickAt = kNever;
            deliver(n, query::Tick {});
        });
    }
}

void PolicySimulation::submitQuery(const ClassLoad& load, ClassFigures& figures, std::size_t entry, const std::string& requestId, std::size_t resends)
{
    const std::uint64_t number = m_nextQuery++;
    Query& query = m_queries[number];
    query.load = &load;
    query.figures = &figures;
    query.entry = entry;
    query.arrived = m_now;
    query.measured = m_now >= m_measureFrom;
    query.requestId = requestId;
    query.resends = resends;
    if (query.measured && resends == 0) {
        ++figures.arrived;
        figures.plannedSubqueries += load.target.repeatable ? m_deployment.mainCollection.shards : 1;
    }
    query::QueryArrived arrival;
    arrival.query = { number };
    arrival.caller = load.target.owner;
    arrival.className = load.target.name;
    arrival.timeout = load.deadline;
    arrival.wallClock = wallClock(m_now);
    arrival.body = std::to_string(number);
    if (!requestId.empty()) {
        arrival.requestId = requestId;
        arrival.issuedAt = wallClock(m_now);
    }
    deliver(entry, arrival);
}

void PolicySimulation::perform(std::size_t, const query::SendAnswer& answer)
{
    Query& query = m_queries.at(answer.query.value);
    checkAnswer(answer, query);
    if (query.ended) {
        ++m_figures.violations.unanswered;
        return;
    }
    query.ended = true;
    const Micros elapsed = std::chrono::duration_cast<Micros>(m_now - query.arrived);
    if (elapsed > query.load->deadline + kAnswerGrace)
        ++m_figures.violations.unanswered;
    if (!query.measured || query.resends > 0)
        return;
    ++query.figures->answered;
    query.figures->latencies.push_back(static_cast<float>(elapsed.count()) / 1000.0F);
    query.figures->coverageSum += answer.coverage.fraction;
    if (elapsed > query.load->deadline)
        return;
    for (const query::ShardResult& result : answer.results)
        query.figures->usefulServerTime += m_jobs[std::stoull(result.payload)].serviceTime;
}

void PolicySimulation::checkAnswer(const query::SendAnswer& answer, Query& query)
{
    bool isConsistent = answer.results.size() == answer.coverage.covered.size();
    std::map<std::uint64_t, std::uint64_t> ranges;
    std::uint64_t coveredSize = 0;
    for (const query::ShardRange& shard : answer.coverage.covered) {
        isConsistent = isConsistent && ranges.emplace(shard.range.begin, shard.range.end).second;
        coveredSize += shard.range.size();
        const auto matches = [&](const query::ShardResult& result) {
            const Job& job = m_jobs[std::stoull(result.payload)];
            return result.shard.range == shard.range && job.request.shard.range == shard.range
                && job.request.snapshot == answer.snapshot && job.queryNumber == answer.query.value;
        };
        isConsistent = isConsistent && std::count_if(answer.results.begin(), answer.results.end(), matches) == 1;
    }
    for (const query::MissingShard& missing : answer.coverage.missing)
        isConsistent = isConsistent && ranges.emplace(missing.shard.range.begin, missing.shard.range.end).second;
    std::uint64_t reached = 0;
    for (const auto& [begin, end] : ranges) {
        isConsistent = isConsistent && begin == reached;
        reached = end;
    }
    isConsistent = isConsistent && reached == kWholeKeySpace.end;
    const double fraction = static_cast<double>(coveredSize) / static_cast<double>(kWholeKeySpace.size());
    isConsistent = isConsistent && std::abs(fraction - answer.coverage.fraction) < 1e-6;
    if (!isConsistent)
        ++query.figures->falseCoverage;
}

void PolicySimulation::perform(std::size_t, const query::SendRefusal& refusal)
{
    Query& query = m_queries.at(refusal.query.value);
    if (query.ended) {
        ++m_figures.violations.unanswered;
        return;
    }
    query.ended = true;
    const bool duplicate = refusal.reason == query::RefusalReason::DuplicateRequest;
    if (refusal.verdict == Verdict::NotRun && query.started)
        ++m_figures.violations.falseNotRun;
    if (refusal.verdict == Verdict::NotRun && duplicate && m_runs.contains(query.requestId))
        ++m_figures.violations.falseNotRun;
    const Micros elapsed = std::chrono::duration_cast<Micros>(m_now - query.arrived);
    if (elapsed > query.load->deadline + kAnswerGrace)
        ++m_figures.violations.unanswered;
    const bool early = refusal.verdict == Verdict::NotRun && !query.started;
    if (query.measured && query.resends == 0) {
        if (early) {
            ++query.figures->refusedBeforeWork;
            query.figures->plannedSubqueries -= query.load->target.repeatable ? m_deployment.mainCollection.shards : 1;
        } else {
            ++query.figures->refusedAfterWork;
            query.figures->latencies.push_back(static_cast<float>(elapsed.count()) / 1000.0F);
        }
    }
    if (!query.requestId.empty() && !duplicate)
        resend(query);
}

void PolicySimulation::resend(const Query& query)
{
    if (query.resends >= 2 || m_now >= m_end)
        return;
    const std::size_t nextEntry = (query.entry + 1) % m_entries.size();
    after(Micros(5'000), [this, load = query.load, figures = query.figures, nextEntry, id = query.requestId, resends = query.resends + 1] {
        submitQuery(*load, *figures, nextEntry, id, resends);
    });
}

void PolicySimulation::perform(std::size_t n, const query::RequestClaim& request)
{
    const bool partitioned = m_partitionedDataCentre && m_entries[n].dataCentre == *m_partitionedDataCentre;
    if (partitioned) {
        after(request.timeout, [this, n, query = request.query] { deliver(n, query::ClaimResolved { query, query::ClaimOutcome::Unavailable, Verdict::MayHaveRun }); });
        return;
    }
    const Micros hop = m_deployment.interCentreDelay * 2;
    after(hop, [this, n, hop, request] {
        query::ClaimResolved resolved { request.query, query::ClaimOutcome::Granted, Verdict::MayHaveRun };
        const auto [it, inserted] = m_claims.emplace(request.requestId, Claim { n, std::nullopt });
        if (!inserted) {
            resolved.outcome = query::ClaimOutcome::Duplicate;
            resolved.earlier = it->second.outcome.value_or(Verdict::MayHaveRun);
        }
        after(hop, [this, n, resolved] { deliver(n, resolved); });
    });
}

void PolicySimulation::perform(std::size_t n, const query::SettleClaim& settle)
{
    const bool partitioned = m_partitionedDataCentre && m_entries[n].dataCentre == *m_partitionedDataCentre;
    const Micros delay = partitioned ? Micros(500'000) : m_deployment.interCentreDelay * 2;
    after(delay, [this, n, partitioned, settle] {
        if (partitioned) {
            perform(n, settle);
            return;
        }
        const auto it = m_claims.find(settle.requestId);
        if (it == m_claims.end() || it->second.holder != n)
            return;
        if (settle.outcome == Verdict::NotRun && !it->second.outcome)
            m_claims.erase(it);
        else if (settle.outcome != Verdict::NotRun)
            it->second.outcome = settle.outcome;
    });
}

void PolicySimulation::perform(std::size_t n, const query::AnnounceLeaving& leaving)
{
    for (std::size_t peer = 0; peer < m_entries.size(); ++peer) {
        if (peer != n)
            after(Micros(500'000), [this, peer, leaving] { deliver(peer, query::PeerReportedLeaving { leaving.server }); });
    }
}

} // namespace curranttrail::tools
