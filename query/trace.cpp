#include "query/trace.h"

#include "query/serialization.h"

#include <istream>
#include <ostream>
#include <sstream>
#include <stdexcept>

#include <cereal/archives/json.hpp>
#include <fmt/format.h>

namespace curranttrail::query {

namespace {

    struct EffectText {
        std::string operator()(const OpenConnection& effect) const
        {
            return fmt::format("open_connection connection={} server={}", effect.connection.value, effect.server.value);
        }
        std::string operator()(const CloseConnection& effect) const
        {
            return fmt::format("close_connection connection={}", effect.connection.value);
        }
        std::string operator()(const SendSubquery& effect) const
        {
            return fmt::format("send_subquery attempt={} connection={} server={} snapshot={} shard={} timeout_us={}", effect.attempt.value,
                effect.connection.value, effect.server.value, effect.snapshot.value, effect.shard.shard, effect.timeout.count());
        }
        std::string operator()(const CancelSubquery& effect) const
        {
            return fmt::format("cancel_subquery attempt={} connection={} server={}", effect.attempt.value, effect.connection.value, effect.server.value);
        }
        std::string operator()(const RequestClaim& effect) const
        {
            return fmt::format("request_claim query={} owner={} request={}", effect.query.value, effect.owner, effect.requestId);
        }
        std::string operator()(const SettleClaim& effect) const
        {
            return fmt::format("settle_claim owner={} request={} outcome={}", effect.owner, effect.requestId, nameOf(kVerdictNames, effect.outcome));
        }
        std::string operator()(const SendAnswer& effect) const
        {
            return fmt::format("send_answer query={} snapshot={} coverage={:.6f} covered={} lacking={}", effect.query.value, effect.snapshot.value,
                effect.coverage.fraction, effect.coverage.covered.size(), effect.coverage.missing.size());
        }
        std::string operator()(const SendRefusal& effect) const
        {
            return fmt::format("send_refusal query={} reason={} run={}", effect.query.value, nameOf(kRefusalReasonNames, effect.reason),
                nameOf(kVerdictNames, effect.verdict));
        }
        std::string operator()(const RecordUsage& effect) const
        {
            return fmt::format("record_usage query={} caused_by={} served_by={} subqueries={} server_us={} bytes={}", effect.query.value,
                effect.usage.causedBy, effect.usage.servedBy, effect.usage.subqueries, effect.usage.serverMicros, effect.usage.bytes);
        }
        std::string operator()(const AnnounceLeaving& effect) const
        {
            return fmt::format("announce_leaving server={}", effect.server.value);
        }
        std::string operator()(const DrainComplete&) const { return "drain_complete"; }
        std::string operator()(const LogEvent& effect) const { return "log " + formatEvent(effect); }
    };

} // namespace

std::string describeEffect(const Effect& effect)
{
    return std::visit(EffectText {}, effect);
}

void writeTraceStep(std::ostream& out, const TraceStep& step)
{
    std::ostringstream line;
    {
        cereal::JSONOutputArchive archive(line, cereal::JSONOutputArchive::Options::NoIndent());
        archive(cereal::make_nvp("at_us", step.at.count()), cereal::make_nvp("event", step.event), cereal::make_nvp("effects", step.effects));
    }
    // Line breaks inside strings are escaped, so only those that the archive writes between values are removed.
    std::string text = line.str();
    std::erase(text, '\n');
    out << text << '\n';
}

std::vector<TraceStep> readTrace(std::istream& in)
{
    std::vector<TraceStep> steps;
    std::string line;
    for (std::size_t number = 1; std::getline(in, line); ++number) {
        std::istringstream text(line);
        TraceStep step;
        std::int64_t at = 0;
        try {
            cereal::JSONInputArchive archive(text);
            archive(cereal::make_nvp("at_us", at), cereal::make_nvp("event", step.event), cereal::make_nvp("effects", step.effects));
        } catch (const std::exception& error) {
            throw std::runtime_error(fmt::format("trace line {}: {}", number, error.what()));
        }
        step.at = Micros(at);
        steps.push_back(std::move(step));
    }
    return steps;
}

} // namespace curranttrail::query
