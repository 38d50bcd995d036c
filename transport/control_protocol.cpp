#include "transport/control_protocol.h"

#include "transport/frame_archive.h"

#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace curranttrail::transport {

namespace {

    // The structures below define the order of the fields on the wire. They are separate from the types in core and control,
    // so that changing such a type does not silently change the protocol.

    struct WireTarget {
        std::string name;
        std::string owner;
        std::string collection;
        double percentile = 0;
        std::int64_t latencyMicros = 0;
        double minimumCoverage = 0;
        bool repeatable = true;
        std::uint64_t version = 0;

        template <typename Archive>
        void serialize(Archive& archive)
        {
            archive(name, owner, collection, percentile, latencyMicros, minimumCoverage, repeatable, version);
        }
    };

    WireTarget toWire(const ClassTarget& target)
    {
        return { target.name, target.owner, target.collection, target.percentile, target.latency.count(), target.minimumCoverage,
            target.repeatable, target.version.value };
    }

    ClassTarget fromWire(const WireTarget& wire)
    {
        ClassTarget target;
        target.name = wire.name;
        target.owner = wire.owner;
        target.collection = wire.collection;
        target.percentile = wire.percentile;
        target.latency = Micros { wire.latencyMicros };
        target.minimumCoverage = wire.minimumCoverage;
        target.repeatable = wire.repeatable;
        target.version = { wire.version };
        return target;
    }

    struct WireOwner {
        std::string owner;
        std::uint64_t version = 0;
        std::vector<WireTarget> classes;

        template <typename Archive>
        void serialize(Archive& archive)
        {
            archive(owner, version, classes);
        }
    };

    using WireVersions = std::map<std::string, std::uint64_t>;

    WireVersions toWire(const VersionTable& versions)
    {
        WireVersions wire;
        for (const auto& [owner, version] : versions)
            wire[owner] = version.value;
        return wire;
    }

    VersionTable fromWire(const WireVersions& wire)
    {
        VersionTable versions;
        for (const auto& [owner, version] : wire)
            versions[owner] = { version };
        return versions;
    }

    struct WireAnswer {
        std::vector<WireOwner> classes;
        WireVersions versions;
        std::string controlOwner;
        bool leaderWithLease = false;
        bool servingEntry = false;
        std::string dataCentre;
        std::optional<std::string> leader;

        template <typename Archive>
        void serialize(Archive& archive)
        {
            archive(classes, versions, controlOwner, leaderWithLease, servingEntry, dataCentre, leader);
        }
    };

    struct WireSetClass {
        std::string changeId;
        std::uint64_t expectedVersion = 0;
        WireTarget target;

        template <typename Archive>
        void serialize(Archive& archive)
        {
            archive(changeId, expectedVersion, target);
        }
    };

    struct WireClaim {
        std::string requestId;
        std::string holder;
        std::int64_t issuedAt = 0;
        std::int64_t proposedAt = 0;

        template <typename Archive>
        void serialize(Archive& archive)
        {
            archive(requestId, holder, issuedAt, proposedAt);
        }
    };

    struct WireSettle {
        std::string requestId;
        std::string holder;
        std::string outcome;

        template <typename Archive>
        void serialize(Archive& archive)
        {
            archive(requestId, holder, outcome);
        }
    };

    struct WireCommand {
        std::variant<WireSetClass, WireClaim, WireSettle> command;

        template <typename Archive>
        void serialize(Archive& archive)
        {
            archive(command);
        }
    };

    struct WireResult {
        std::string status;
        std::uint64_t version = 0;
        std::string earlier;
        std::optional<std::string> leader;
        std::string message;

        template <typename Archive>
        void serialize(Archive& archive)
        {
            archive(status, version, earlier, leader, message);
        }
    };

    struct WireReplica {
        std::string from;
        std::string message;

        template <typename Archive>
        void serialize(Archive& archive)
        {
            archive(from, message);
        }
    };

    struct WireFetch {
        WireVersions held;

        template <typename Archive>
        void serialize(Archive& archive)
        {
            archive(held);
        }
    };

    struct WireReport {
        std::string instance;
        std::string dataCentre;
        std::string owner;
        WireVersions inForce;

        template <typename Archive>
        void serialize(Archive& archive)
        {
            archive(instance, dataCentre, owner, inForce);
        }
    };

    struct CommandToWire {
        WireCommand operator()(const control::SetClass& change) const
        {
            return { WireSetClass { change.changeId, change.expectedVersion.value, toWire(change.target) } };
        }

        WireCommand operator()(const control::ClaimRequest& claim) const
        {
            return { WireClaim { claim.requestId, claim.holder, claim.issuedAt, claim.proposedAt } };
        }

        WireCommand operator()(const control::SettleClaimRequest& settle) const
        {
            return { WireSettle { settle.requestId, settle.holder, std::string { nameOf(kVerdictNames, settle.outcome) } } };
        }
    };

    struct CommandFromWire {
        std::optional<SubmitCommand> operator()(const WireSetClass& wire) const
        {
            return SubmitCommand { control::SetClass { wire.changeId, { wire.expectedVersion }, fromWire(wire.target) } };
        }

        std::optional<SubmitCommand> operator()(const WireClaim& wire) const
        {
            return SubmitCommand { control::ClaimRequest { wire.requestId, wire.holder, wire.issuedAt, wire.proposedAt } };
        }

        std::optional<SubmitCommand> operator()(const WireSettle& wire) const
        {
            const std::optional<Verdict> outcome = valueOf(kVerdictNames, wire.outcome);
            if (!outcome)
                return std::nullopt;
            return SubmitCommand { control::SettleClaimRequest { wire.requestId, wire.holder, *outcome } };
        }
    };

} // namespace

std::string encode(const ReplicaMessage& message)
{
    return encodeValues(WireReplica { message.from, message.message });
}

std::string encode(const SubmitCommand& message)
{
    return encodeValues(std::visit(CommandToWire {}, message.command));
}

std::string encode(const control::CommandResult& message)
{
    return encodeValues(WireResult { std::string { nameOf(control::kCommandStatusNames, message.status) }, message.version.value,
        std::string { nameOf(kVerdictNames, message.earlier) }, message.leader, message.message });
}

std::string encode(const FetchConfiguration& message)
{
    return encodeValues(WireFetch { toWire(message.held) });
}

std::string encode(const ConfigurationAnswer& message)
{
    WireAnswer wire { {}, toWire(message.versions), message.controlOwner, message.leaderWithLease, message.servingEntry, message.dataCentre,
        message.leader };
    for (const auto& [owner, configuration] : message.classes) {
        WireOwner wireOwner { owner, configuration.version.value, {} };
        for (const auto& [name, target] : configuration.classes)
            wireOwner.classes.push_back(toWire(target));
        wire.classes.push_back(std::move(wireOwner));
    }
    return encodeValues(wire);
}

std::string encode(const ReportVersions& message)
{
    return encodeValues(WireReport { message.instance, message.dataCentre, message.owner, toWire(message.inForce) });
}

template <>
std::optional<ReplicaMessage> decode(std::string_view body)
{
    std::optional<WireReplica> wire = decodeValue<WireReplica>(body);
    if (!wire)
        return std::nullopt;
    return ReplicaMessage { std::move(wire->from), std::move(wire->message) };
}

template <>
std::optional<SubmitCommand> decode(std::string_view body)
{
    const std::optional<WireCommand> wire = decodeValue<WireCommand>(body);
    if (!wire)
        return std::nullopt;
    return std::visit(CommandFromWire {}, wire->command);
}

template <>
std::optional<control::CommandResult> decode(std::string_view body)
{
    const std::optional<WireResult> wire = decodeValue<WireResult>(body);
    if (!wire)
        return std::nullopt;
    const std::optional<control::CommandStatus> status = valueOf(control::kCommandStatusNames, wire->status);
    const std::optional<Verdict> earlier = valueOf(kVerdictNames, wire->earlier);
    if (!status || !earlier)
        return std::nullopt;
    return control::CommandResult { *status, { wire->version }, *earlier, wire->leader, wire->message };
}

template <>
std::optional<FetchConfiguration> decode(std::string_view body)
{
    const std::optional<WireFetch> wire = decodeValue<WireFetch>(body);
    if (!wire)
        return std::nullopt;
    return FetchConfiguration { fromWire(wire->held) };
}

template <>
std::optional<ConfigurationAnswer> decode(std::string_view body)
{
    const std::optional<WireAnswer> wire = decodeValue<WireAnswer>(body);
    if (!wire)
        return std::nullopt;
    ConfigurationAnswer answer { {}, fromWire(wire->versions), wire->controlOwner, wire->leaderWithLease, wire->servingEntry,
        wire->dataCentre, wire->leader };
    for (const WireOwner& owner : wire->classes) {
        OwnerConfiguration configuration { owner.owner, { owner.version }, {} };
        for (const WireTarget& target : owner.classes)
            configuration.classes.emplace(target.name, fromWire(target));
        answer.classes.emplace(owner.owner, std::move(configuration));
    }
    return answer;
}

template <>
std::optional<ReportVersions> decode(std::string_view body)
{
    const std::optional<WireReport> wire = decodeValue<WireReport>(body);
    if (!wire)
        return std::nullopt;
    return ReportVersions { wire->instance, wire->dataCentre, wire->owner, fromWire(wire->inForce) };
}

} // namespace curranttrail::transport
