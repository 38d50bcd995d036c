#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace curranttrail {

// An integer id that cannot be converted to an id of another kind.
template <typename Tag>
struct StrongId {
    std::uint64_t value = 0;
    auto operator<=>(const StrongId&) const = default; // NOLINT(modernize-use-nullptr): false alarm on the defaulted operator.
};

// A query in flight on one entry instance.
using QueryId = StrongId<struct QueryTag>;
// One attempt of a request or subquery. Never reused during the lifetime of a process.
using AttemptId = StrongId<struct AttemptTag>;
// A connection to a backend server, numbered by the reducer that requested it.
using ConnectionId = StrongId<struct ConnectionTag>;
// A backend server, numbered by the directory of one process.
using ServerId = StrongId<struct ServerTag>;
// A version of the index of a collection.
using SnapshotVersion = StrongId<struct SnapshotTag>;
// A version of an owner's configuration.
using ConfigurationVersion = StrongId<struct ConfigurationTag>;

// Names by which operators identify owners, instances, data centres, collections and classes.
using OwnerName = std::string;
using InstanceName = std::string;
using DataCentreName = std::string;
using CollectionName = std::string;
using ClassName = std::string;

} // namespace curranttrail

template <typename Tag>
struct std::hash<curranttrail::StrongId<Tag>> {
    std::size_t operator()(const curranttrail::StrongId<Tag>& id) const noexcept { return std::hash<std::uint64_t> {}(id.value); }
};
