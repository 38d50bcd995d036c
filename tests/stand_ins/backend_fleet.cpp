#include "tests/stand_ins/backend_fleet.h"

#include "transport/backend_protocol.h"

#include <boost/json.hpp>

#include <fmt/format.h>

#include <functional>
#include <stdexcept>

namespace curranttrail::stand_ins {

namespace json = boost::json;

namespace {

    constexpr Micros kMaximumDuration { 600'000'000 };

    BackendGroup readGroup(const SettingsTable& table)
    {
        BackendGroup group;
        group.owner = table.text("owner");
        group.collection = table.text("collection");
        group.dataCentres = table.texts("data_centres");
        if (group.dataCentres.empty())
            table.reject("data_centres", "expected at least one data centre");
        group.shards = static_cast<std::uint32_t>(table.integer("shards", 1, 1'000));
        group.replicas = static_cast<std::uint32_t>(table.integer("replicas", 2, 1, 100));
        group.connectionLimit = static_cast<std::uint32_t>(table.integer("connection_limit", 25, 1, 100'000));
        group.snapshot = static_cast<std::uint64_t>(table.integer("snapshot", 1, 1, INT64_MAX));
        BackendBehaviour& behaviour = group.behaviour;
        behaviour.slots = static_cast<std::uint32_t>(table.integer("slots", 2, 1, 1'000));
        behaviour.queueLimit = static_cast<std::size_t>(table.integer("queue_limit", 32, 0, 100'000));
        behaviour.serviceTime = table.duration("service_time", Micros { 4'000 }, Micros { 1 }, kMaximumDuration);
        behaviour.serviceSigma = table.real("service_sigma", 0.2, 0, 3);
        behaviour.stragglerShare = table.real("straggler_share", 0, 0, 1);
        behaviour.stragglerFactor = table.real("straggler_factor", 10, 1, 1'000);
        behaviour.openTime = table.duration("open_time", Micros { 0 }, Micros { 0 }, kMaximumDuration);
        behaviour.coldStartTime = table.duration("cold_start", Micros { 0 }, Micros { 0 }, kMaximumDuration);
        behaviour.coldStartFactor = table.real("cold_factor", 5, 1, 1'000);
        behaviour.loadLag = table.duration("load_lag", Micros { 0 }, Micros { 0 }, kMaximumDuration);
        return group;
    }

    Micros millis(const json::value& value)
    {
        return Micros { value.to_number<std::int64_t>() * 1'000 };
    }

    using Setter = std::function<void(BackendServer&, const json::value&)>;

    template <typename Change>
    Setter behaviourSetter(Change change)
    {
        return [change](BackendServer& server, const json::value& value) { server.change([&](BackendBehaviour& behaviour) { change(behaviour, value); }); };
    }

    // Setters for the keys that POST /v1/stand-in accepts.
    const std::map<std::string, Setter, std::less<>>& setters()
    {
        using B = BackendBehaviour;
        using V = json::value;
        static const std::map<std::string, Setter, std::less<>> kSetters {
            { "draining", behaviourSetter([](B& b, const V& v) { b.draining = v.as_bool(); }) },
            { "slots", behaviourSetter([](B& b, const V& v) { b.slots = v.to_number<std::uint32_t>(); }) },
            { "queue_limit", behaviourSetter([](B& b, const V& v) { b.queueLimit = v.to_number<std::size_t>(); }) },
            { "slow_factor", behaviourSetter([](B& b, const V& v) { b.slowFactor = v.to_number<double>(); }) },
            { "service_time_ms", behaviourSetter([](B& b, const V& v) { b.serviceTime = millis(v); }) },
            { "straggler_share", behaviourSetter([](B& b, const V& v) { b.stragglerShare = v.to_number<double>(); }) },
            { "straggler_factor", behaviourSetter([](B& b, const V& v) { b.stragglerFactor = v.to_number<double>(); }) },
            { "reported_load", behaviourSetter([](B& b, const V& v) { b.reportedLoad = v.is_null() ? std::nullopt : std::optional<double> { v.to_number<double>() }; }) },
            { "reply_delay_ms", behaviourSetter([](B& b, const V& v) { b.replyDelay = millis(v); }) },
            { "reply_shuffle_ms", behaviourSetter([](B& b, const V& v) { b.replyShuffle = millis(v); }) },
            { "wrong_attempt_share", behaviourSetter([](B& b, const V& v) { b.wrongAttemptShare = v.to_number<double>(); }) },
            { "fail_share", behaviourSetter([](B& b, const V& v) { b.failShare = v.to_number<double>(); }) },
            { "silence_connections", [](BackendServer& server, const V&) { server.silenceConnections(); } },
            { "drop_snapshot", [](BackendServer& server, const V& v) { server.dropSnapshot({ v.to_number<std::uint64_t>() }); } },
            { "up", [](BackendServer& server, const V& v) { v.as_bool() ? server.start() : server.stop(); } },
        };
        return kSetters;
    }

    std::string stringField(const json::object& object, json::string_view key)
    {
        const json::value* value = object.if_contains(key);
        return value ? std::string { value->as_string() } : std::string {};
    }

    transport::HttpResponse jsonResponse(std::string body, unsigned status = 200)
    {
        transport::HttpResponse response;
        response.status = status;
        response.body = std::move(body);
        return response;
    }

} // namespace

FleetSettings readFleetSettings(const SettingsFile& file)
{
    const SettingsTable root = file.root();
    FleetSettings settings;
    settings.seed = static_cast<std::uint64_t>(root.integer("seed", 1, 0, INT64_MAX));
    settings.control = root.endpoint("control", settings.control);
    for (const SettingsTable& table : root.tables("group"))
        settings.groups.push_back(readGroup(table));
    return settings;
}

std::vector<query::ShardRange> evenShards(const std::string& prefix, std::uint32_t shards)
{
    std::vector<query::ShardRange> result;
    const std::uint64_t step = UINT64_MAX / shards;
    for (std::uint32_t n = 0; n < shards; ++n)
        result.push_back({ fmt::format("{}{:02}", prefix, n), { n * step, n + 1 == shards ? UINT64_MAX : (n + 1) * step } });
    return result;
}

BackendFleet::BackendFleet(transport::IoThreads& threads, FleetSettings settings)
    : m_threads(threads)
    , m_settings(std::move(settings))
{
    std::uint64_t seed = m_settings.seed;
    for (const BackendGroup& group : m_settings.groups)
        addServers(group, seed);
    for (const BackendGroup& group : m_settings.groups)
        addSnapshot(group.collection, group.snapshot, group.shards);
    transport::HttpRouter router;
    router.add("POST", "/v1/stand-in", [this](const transport::HttpRequest& request, const transport::Responder& responder) { change(request, responder); });
    router.add("GET", "/v1/stand-in/runs", [this](const transport::HttpRequest&, const transport::Responder& responder) { responder.send(jsonResponse(runsJson())); });
    transport::HttpServerOptions options;
    options.bind = m_settings.control;
    m_control = std::make_unique<transport::HttpServer>(threads, options, router);
}

BackendFleet::~BackendFleet()
{
    for (const std::shared_ptr<BackendServer>& server : m_servers)
        server->stop();
}

void BackendFleet::addServers(const BackendGroup& group, std::uint64_t& seed)
{
    for (std::uint32_t service = 0; service < group.shards; ++service) {
        for (std::uint32_t replica = 0; replica < group.replicas; ++replica) {
            const std::string name = fmt::format("{}-{:02}-{}", group.collection, service, replica);
            // The increment gives consecutive servers unrelated seeds.
            seed += 0x9e3779b97f4a7c15U;
            std::shared_ptr<BackendServer> server = std::make_shared<BackendServer>(m_threads, name, seed, group.behaviour, group.connectionLimit, transport::Endpoint { "127.0.0.1", 0 });
            server->start();
            m_servers.push_back(server);
            m_members.push_back({ &group, service, group.dataCentres[replica % group.dataCentres.size()], std::move(server) });
        }
    }
}

void BackendFleet::addSnapshot(const CollectionName& collection, std::uint64_t version, std::uint32_t shards)
{
    const std::vector<query::ShardRange> ranges = evenShards(fmt::format("{}/{}/", collection, version), shards);
    for (const Member& member : m_members) {
        if (member.group->collection != collection)
            continue;
        for (std::uint32_t n = 0; n < shards; ++n) {
            // If there are fewer shards than services, only the first services hold a shard.
            const std::uint32_t service = shards >= member.group->shards ? static_cast<std::uint32_t>(std::uint64_t { n } * member.group->shards / shards) : n;
            if (service == member.service)
                member.server->holdShard({ { version }, ranges[n] });
        }
    }
}

std::shared_ptr<BackendServer> BackendFleet::server(const std::string& name) const
{
    const std::vector<std::shared_ptr<BackendServer>> found = selectServers(name, "");
    return found.empty() ? nullptr : found.front();
}

std::vector<std::shared_ptr<BackendServer>> BackendFleet::selectServers(const std::string& server, const std::string& collection) const
{
    std::vector<std::shared_ptr<BackendServer>> result;
    for (const Member& member : m_members) {
        if (server.empty() ? collection.empty() || member.group->collection == collection : member.server->name() == server)
            result.push_back(member.server);
    }
    return result;
}

void BackendFleet::change(const transport::HttpRequest& request, const transport::Responder& responder)
{
    try {
        const json::value body = json::parse(request.body);
        const json::object& object = body.as_object();
        const std::string collection = stringField(object, "collection");
        const std::vector<std::shared_ptr<BackendServer>> servers = selectServers(stringField(object, "server"), collection);
        if (const json::value* snapshot = object.if_contains("add_snapshot"))
            addSnapshot(collection, snapshot->at("version").to_number<std::uint64_t>(), snapshot->at("shards").to_number<std::uint32_t>());
        const json::value* set = object.if_contains("set");
        for (const auto& pair : set ? set->as_object() : json::object {}) {
            const auto setter = setters().find(std::string_view { pair.key().data(), pair.key().size() });
            if (setter == setters().end())
                throw std::invalid_argument("unknown setting " + std::string { pair.key() });
            for (const std::shared_ptr<BackendServer>& server : servers)
                setter->second(*server, pair.value());
        }
        responder.send(jsonResponse(fmt::format(R"({{"changed":{}}})", servers.size())));
    } catch (const std::exception& error) {
        responder.send(jsonResponse(transport::refusalBody("malformed", "not_run", error.what()), 400));
    }
}

std::string BackendFleet::runsJson() const
{
    json::object runs;
    BackendCounts sum;
    for (const std::shared_ptr<BackendServer>& server : m_servers) {
        const BackendCounts counts = server->counts();
        sum.started += counts.started;
        sum.completed += counts.completed;
        sum.shed += counts.shed;
        sum.cancelled += counts.cancelled;
        sum.snapshotGone += counts.snapshotGone;
        for (const auto& [id, count] : counts.runs) {
            json::value& total = runs[id];
            total = (total.is_null() ? 0 : total.to_number<std::uint64_t>()) + count;
        }
    }
    return json::serialize(json::object { { "started", sum.started }, { "completed", sum.completed }, { "shed", sum.shed }, { "cancelled", sum.cancelled },
        { "snapshot_gone", sum.snapshotGone }, { "runs", std::move(runs) } });
}

std::string BackendFleet::instancesJson() const
{
    json::array servers;
    for (const Member& member : m_members)
        servers.push_back(json::object { { "name", member.server->name() }, { "address", member.server->address().text() }, { "data_centre", member.dataCentre },
            { "owner", member.group->owner }, { "collection", member.group->collection }, { "slots", member.group->behaviour.slots },
            { "connection_limit", member.group->connectionLimit }, { "state", "live" } });
    return json::serialize(json::object { { "servers", std::move(servers) } });
}

std::string BackendFleet::platformToml() const
{
    std::string text;
    for (const Member& member : m_members)
        text += fmt::format("[[server]]\nname = \"{}\"\naddress = \"{}\"\ndata_centre = \"{}\"\nowner = \"{}\"\ncollection = \"{}\"\nslots = {}\nconnection_limit = {}\nstate = \"live\"\n\n",
            member.server->name(), member.server->address().text(), member.dataCentre, member.group->owner, member.group->collection,
            member.group->behaviour.slots, member.group->connectionLimit);
    return text;
}

std::string BackendFleet::portsText() const
{
    std::string text = fmt::format("control=127.0.0.1:{}\n", controlPort());
    for (const Member& member : m_members)
        text += member.server->name() + "=" + member.server->address().text() + "\n";
    return text;
}

} // namespace curranttrail::stand_ins
