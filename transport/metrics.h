#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace curranttrail::transport {

// Monotonically increasing counter.
class Counter {
public:
    void add(std::uint64_t n = 1) { m_value.fetch_add(n, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

// Value that can increase and decrease.
class Gauge {
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value { 0 };
};

// Histogram of latencies from 10 microseconds to 100 seconds with logarithmic buckets.
class LatencyHistogram {
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram&) = delete;
    LatencyHistogram& operator=(const LatencyHistogram&) = delete;

    void record(std::chrono::microseconds elapsed);
    // Returns the upper bound of the bucket that contains the given quantile, or zero if there are no values.
    std::chrono::microseconds quantile(double fraction) const;
    std::uint64_t count() const;

    // Returns the bucket upper bounds in seconds, each with the number of values at or below it.
    std::vector<std::pair<double, std::uint64_t>> cumulative() const;
    double sumSeconds() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

using MetricLabels = std::vector<std::pair<std::string, std::string>>;

// Metrics registry of a process. A metric is created at its first use and lives as long as the registry.
// Names include the unit, such as "curranttrail_query_latency_seconds"; counter names end with "_total".
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    Counter& counter(const std::string& name, const std::string& help, const MetricLabels& labels = {});
    Gauge& gauge(const std::string& name, const std::string& help, const MetricLabels& labels = {});
    LatencyHistogram& latency(const std::string& name, const std::string& help, const MetricLabels& labels = {});

    // Returns all metrics in the Prometheus text format, version 0.0.4.
    std::string prometheusText() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace curranttrail::transport
