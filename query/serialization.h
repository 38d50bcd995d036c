#pragma once

#include "query/messages.h"

#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/memory.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

// cereal serialization of an entry instance's events, used by recorded traces.
namespace curranttrail {

template <typename Archive, typename Tag>
void serialize(Archive& archive, StrongId<Tag>& id)
{
    archive(cereal::make_nvp("id", id.value));
}

template <typename Archive>
void serialize(Archive& archive, KeyRange& range)
{
    archive(cereal::make_nvp("begin", range.begin), cereal::make_nvp("end", range.end));
}

template <typename Archive>
void serialize(Archive& archive, ClassTarget& target)
{
    std::int64_t latencyMicros = target.latency.count();
    archive(cereal::make_nvp("name", target.name), cereal::make_nvp("owner", target.owner),
        cereal::make_nvp("collection", target.collection), cereal::make_nvp("percentile", target.percentile),
        cereal::make_nvp("latency_us", latencyMicros), cereal::make_nvp("minimum_coverage", target.minimumCoverage),
        cereal::make_nvp("repeatable", target.repeatable), cereal::make_nvp("version", target.version));
    target.latency = Micros(latencyMicros);
}

template <typename Archive>
void serialize(Archive& archive, OwnerConfiguration& configuration)
{
    archive(cereal::make_nvp("owner", configuration.owner), cereal::make_nvp("version", configuration.version),
        cereal::make_nvp("classes", configuration.classes));
}

} // namespace curranttrail

namespace curranttrail::policy {

template <typename Archive>
void serialize(Archive& archive, ServerEnd& end)
{
    Micros::rep at = end.at.time_since_epoch().count();
    archive(cereal::make_nvp("server", end.server), cereal::make_nvp("collection", end.collection), cereal::make_nvp("reporter", end.reporter),
        cereal::make_nvp("at", at), cereal::make_nvp("answered", end.answeredSince), cereal::make_nvp("collection_answered", end.collectionAnsweredSince));
    end.at = TimePoint { Micros { at } };
}

template <typename Archive>
void serialize(Archive& archive, CrashRecord& record)
{
    Micros::rep lastArrival = record.lastArrival.time_since_epoch().count();
    archive(cereal::make_nvp("request", record.request.bytes), cereal::make_nvp("ends", record.ends), cereal::make_nvp("last_arrival", lastArrival));
    record.lastArrival = TimePoint { Micros { lastArrival } };
}

} // namespace curranttrail::policy

namespace curranttrail::query {

template <typename Archive>
void serialize(Archive& archive, ShardRange& shard)
{
    archive(cereal::make_nvp("shard", shard.shard), cereal::make_nvp("range", shard.range));
}

template <typename Archive>
void serialize(Archive& archive, HeldShard& held)
{
    archive(cereal::make_nvp("snapshot", held.snapshot), cereal::make_nvp("shard", held.shard));
}

template <typename Archive>
void serialize(Archive& archive, ServerReport& report)
{
    archive(cereal::make_nvp("server", report.server), cereal::make_nvp("load", report.load),
        cereal::make_nvp("draining", report.draining), cereal::make_nvp("held", report.held));
}

template <typename Archive>
void serialize(Archive& archive, ListedServer& server)
{
    archive(cereal::make_nvp("server", server.server), cereal::make_nvp("name", server.name),
        cereal::make_nvp("data_centre", server.dataCentre), cereal::make_nvp("owner", server.owner),
        cereal::make_nvp("collection", server.collection), cereal::make_nvp("slots", server.slots),
        cereal::make_nvp("connection_limit", server.connectionLimit), cereal::make_nvp("leaving", server.leaving));
}

template <typename Archive>
void serialize(Archive& archive, QueryArrived& event)
{
    std::int64_t timeoutMicros = event.timeout.count();
    archive(cereal::make_nvp("query", event.query), cereal::make_nvp("caller", event.caller),
        cereal::make_nvp("class", event.className), cereal::make_nvp("timeout_us", timeoutMicros),
        cereal::make_nvp("request_id", event.requestId), cereal::make_nvp("issued_at_ms", event.issuedAt),
        cereal::make_nvp("wall_clock_ms", event.wallClock), cereal::make_nvp("body", event.body));
    event.timeout = Micros(timeoutMicros);
}

template <typename Archive>
void serialize(Archive& archive, CallerDisconnected& event)
{
    archive(cereal::make_nvp("query", event.query));
}

template <typename Archive>
void serialize(Archive& archive, ClaimResolved& event)
{
    archive(cereal::make_nvp("query", event.query), cereal::make_nvp("outcome", event.outcome), cereal::make_nvp("earlier", event.earlier));
}

template <typename Archive>
void serialize(Archive& archive, ServerListChanged& event)
{
    archive(cereal::make_nvp("servers", event.servers));
}

template <typename Archive>
void serialize(Archive& archive, PeerReportedLeaving& event)
{
    archive(cereal::make_nvp("server", event.server));
}

template <typename Archive>
void serialize(Archive& archive, EntryInstancesChanged& event)
{
    archive(cereal::make_nvp("self", event.self), cereal::make_nvp("instances", event.instances));
}

template <typename Archive>
void save(Archive& archive, const ConfigurationChanged& event)
{
    archive(cereal::make_nvp("classes", event.classes ? *event.classes : ClassTable {}));
}

template <typename Archive>
void load(Archive& archive, ConfigurationChanged& event)
{
    ClassTable table;
    archive(cereal::make_nvp("classes", table));
    event.classes = std::make_shared<const ClassTable>(std::move(table));
}

template <typename Archive>
void serialize(Archive& archive, ConnectionOpened& event)
{
    archive(cereal::make_nvp("connection", event.connection));
}

template <typename Archive>
void serialize(Archive& archive, ConnectionLost& event)
{
    archive(cereal::make_nvp("connection", event.connection));
}

template <typename Archive>
void serialize(Archive& archive, SubqueryReplied& event)
{
    archive(cereal::make_nvp("attempt", event.attempt), cereal::make_nvp("connection", event.connection),
        cereal::make_nvp("status", event.status), cereal::make_nvp("snapshot", event.snapshot), cereal::make_nvp("shard", event.shard),
        cereal::make_nvp("payload", event.payload), cereal::make_nvp("server_us", event.serverMicros),
        cereal::make_nvp("report", event.report));
}

template <typename Archive>
void serialize(Archive& archive, SubqueryEnded& event)
{
    archive(cereal::make_nvp("attempt", event.attempt), cereal::make_nvp("connection", event.connection),
        cereal::make_nvp("progress", event.progress));
}

template <typename Archive>
void serialize(Archive& archive, ConfigurationConfirmed& event)
{
    archive(cereal::make_nvp("owner", event.owner));
}

template <typename Archive>
void serialize(Archive& archive, CrashRecordsReceived& event)
{
    archive(cereal::make_nvp("records", event.records));
}

template <typename Archive>
void serialize(Archive&, DrainRequested&)
{
}

template <typename Archive>
void serialize(Archive&, Tick&)
{
}

} // namespace curranttrail::query
