#include "transport/metrics.h"

#include <boost/histogram.hpp>

#include <fmt/format.h>

#include <map>
#include <mutex>

namespace curranttrail::transport {

namespace bh = boost::histogram;

namespace {

    using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

    LogAxis makeAxis()
    {
        constexpr unsigned kBuckets = 70; // 10 per decade
        return { kBuckets, 1e-5, 100.0 };
    }

    std::string escaped(const std::string& value)
    {
        std::string text;
        for (char c : value) {
            if (c == '\n') {
                text += "\\n";
                continue;
            }
            if (c == '"' || c == '\\')
                text += '\\';
            text += c;
        }
        return text;
    }

    std::string labelText(const MetricLabels& labels)
    {
        std::string text;
        for (const auto& [name, value] : labels)
            text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name, escaped(value));
        return text;
    }

    std::string braced(const std::string& labels)
    {
        return labels.empty() ? "" : "{" + labels + "}";
    }

    template <typename Metric>
    struct Family {
        std::string help;
        std::map<std::string, std::unique_ptr<Metric>> byLabels;
    };

    template <typename Metric>
    using Families = std::map<std::string, Family<Metric>>;

    template <typename Metric>
    Metric& findOrAdd(Families<Metric>& families, const std::string& name, const std::string& help, const MetricLabels& labels)
    {
        Family<Metric>& family = families[name];
        family.help = help;
        std::unique_ptr<Metric>& metric = family.byLabels[labelText(labels)];
        if (!metric)
            metric = std::make_unique<Metric>();
        return *metric;
    }

    void writeLatency(std::string& text, const std::string& name, const std::string& labels, const LatencyHistogram& latency)
    {
        const std::string separator = labels.empty() ? "" : ",";
        std::uint64_t total = 0;
        for (const auto& [bound, count] : latency.cumulative()) {
            if (count != total)
                text += fmt::format("{}_bucket{{{}{}le=\"{:.6g}\"}} {}\n", name, labels, separator, bound, count);
            total = count;
        }
        const std::uint64_t count = latency.count();
        text += fmt::format("{}_bucket{{{}{}le=\"+Inf\"}} {}\n{}_sum{} {}\n{}_count{} {}\n", name, labels, separator, count, name, braced(labels),
            latency.sumSeconds(), name, braced(labels), count);
    }

} // namespace

struct LatencyHistogram::Impl {
    using Histogram = decltype(bh::make_histogram(makeAxis()));

    mutable std::mutex mutex;
    Histogram histogram = bh::make_histogram(makeAxis());
    std::uint64_t count = 0;
    double sumSeconds = 0;
};

LatencyHistogram::LatencyHistogram()
    : m_impl(std::make_unique<Impl>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(std::chrono::microseconds elapsed)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const std::lock_guard lock(m_impl->mutex);
    m_impl->histogram(seconds);
    ++m_impl->count;
    m_impl->sumSeconds += seconds;
}

std::chrono::microseconds LatencyHistogram::quantile(double fraction) const
{
    const std::uint64_t total = count();
    for (const auto& [bound, count] : cumulative()) {
        if (total != 0 && static_cast<double>(count) >= fraction * static_cast<double>(total))
            return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(bound));
    }
    return total == 0 ? std::chrono::microseconds { 0 } : std::chrono::microseconds { 100'000'000 };
}

std::uint64_t LatencyHistogram::count() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->count;
}

double LatencyHistogram::sumSeconds() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->sumSeconds;
}

std::vector<std::pair<double, std::uint64_t>> LatencyHistogram::cumulative() const
{
    std::vector<std::pair<double, std::uint64_t>> bounds;
    const std::lock_guard lock(m_impl->mutex);
    const LogAxis axis = makeAxis();
    std::uint64_t sum = 0;
    // Index -1 is the underflow bucket. Its upper bound is the lower end of the axis.
    for (int n = -1; n < axis.size(); ++n) {
        sum += static_cast<std::uint64_t>(m_impl->histogram.at(n));
        bounds.emplace_back(axis.value(n + 1), sum);
    }
    return bounds;
}

struct Metrics::Impl {
    mutable std::mutex mutex;
    Families<Counter> counters;
    Families<Gauge> gauges;
    Families<LatencyHistogram> latencies;
};

Metrics::Metrics()
    : m_impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

Counter& Metrics::counter(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    const std::lock_guard lock(m_impl->mutex);
    return findOrAdd(m_impl->counters, name, help, labels);
}

Gauge& Metrics::gauge(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    const std::lock_guard lock(m_impl->mutex);
    return findOrAdd(m_impl->gauges, name, help, labels);
}

LatencyHistogram& Metrics::latency(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    const std::lock_guard lock(m_impl->mutex);
    return findOrAdd(m_impl->latencies, name, help, labels);
}

std::string Metrics::prometheusText() const
{
    std::string text;
    const std::lock_guard lock(m_impl->mutex);
    for (const auto& [name, family] : m_impl->counters) {
        text += fmt::format("# HELP {} {}\n# TYPE {} counter\n", name, family.help, name);
        for (const auto& [labels, counter] : family.byLabels)
            text += fmt::format("{}{} {}\n", name, braced(labels), counter->value());
    }
    for (const auto& [name, family] : m_impl->gauges) {
        text += fmt::format("# HELP {} {}\n# TYPE {} gauge\n", name, family.help, name);
        for (const auto& [labels, gauge] : family.byLabels)
            text += fmt::format("{}{} {}\n", name, braced(labels), gauge->value());
    }
    for (const auto& [name, family] : m_impl->latencies) {
        text += fmt::format("# HELP {} {}\n# TYPE {} histogram\n", name, family.help, name);
        for (const auto& [labels, latency] : family.byLabels)
            writeLatency(text, name, labels, *latency);
    }
    return text;
}

} // namespace curranttrail::transport
