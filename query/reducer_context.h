#pragma once

#include "core/event_log.h"
#include "core/random.h"
#include "core/units.h"
#include "query/messages.h"

#include <map>
#include <utility>
#include <vector>

namespace curranttrail::query {

// What is fixed for one entry instance.
struct EntryOptions {
    InstanceName name;
    OwnerName owner;
    DataCentreName dataCentre;
    std::uint64_t seed = 0;
    // Network round trip to each data centre, expected until replies have been observed.
    std::map<DataCentreName, Micros> distances;
    // Queries in flight that the instance holds in memory at most. An owner may use three quarters of them.
    std::uint32_t maximumQueries = 4'000;
    // Time-outs of callers are cut to this.
    Micros maximumTimeout { 300'000'000 };
};

// What the parts of the reducer share while one event is handled.
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
