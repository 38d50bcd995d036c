#pragma once

#include "core/event_log.h"
#include "core/random.h"
#include "core/request_fingerprint.h"
#include "core/units.h"
#include "query/messages.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace curranttrail::query {

// Fixed options of an entry instance.
struct EntryOptions {
    InstanceName name;
    OwnerName owner;
    DataCentreName dataCentre;
    std::uint64_t seed = 0;
    // Network round-trip time to each data centre, assumed until replies have been observed.
    std::map<DataCentreName, Micros> distances;
    // Maximum number of queries in flight. One owner may use three quarters of it.
    std::uint32_t maximumQueries = 4'000;
    // Key of the fingerprints of queries, the same in all instances. At least RequestHasher::kKeyBytes long.
    std::string fingerprintKey = std::string(RequestHasher::kKeyBytes, '\0');
    // Upper bound of the callers' timeouts; longer ones are reduced to it.
    Micros maximumTimeout { 300'000'000 };
    // Time from DrainRequested to the end of the process. Queries that are open then are answered before it.
    Micros drainTimeout { 300'000'000 };
};

// State shared by the components of the reducer. Effects are collected while one event is handled.
struct ReducerContext {
    EntryOptions options;
    Random random;
    TimePoint now;
    std::vector<Effect> effects;

    template <typename T>
    void emit(T effect)
    {
        effects.emplace_back(std::move(effect));
    }

    void log(const EventDescription& description, std::vector<EventField> fields = {}) { emit(LogEvent { &description, std::move(fields) }); }
};

} // namespace curranttrail::query
