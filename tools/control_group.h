#pragma once

#include "control/control_reducer.h"
#include "storage/control_storage.h"

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace curranttrail::tools {

// Runs a control group in one thread and in virtual time, for measurements.
class ControlGroup {
public:
    struct Options {
        std::size_t replicas = 3;
        std::uint64_t seed = 1;
        Micros messageDelay { 500 };
        Micros syncDelay { 1'000 };
        // Parent of the replicas' data folders. If it is empty, no journals are written.
        std::filesystem::path folder;
    };
    using Answer = std::function<void(const control::CommandResult&)>;

    explicit ControlGroup(Options options);

    // Runs until the condition holds, for at most the given virtual time.
    bool runUntil(const std::function<bool()>& condition, Micros limit);
    void runFor(Micros duration);
    void submit(std::size_t replica, control::Command command, Answer answer);
    // Stops a replica, so that it handles no further events.
    void stop(std::size_t replica) { m_replicas[replica].stopped = true; }
    std::optional<std::size_t> leader() const;
    TimePoint now() const { return m_now; }
    const storage::ControlStorage& storage(std::size_t replica) const { return *m_replicas[replica].storage; }

private:
    struct Replica {
        std::unique_ptr<storage::ControlStorage> storage;
        std::unique_ptr<control::ControlReducer> reducer;
        bool stopped = false;
        TimePoint wakeup = kNever;
        TimePoint lastSync;
    };
    struct Action {
        TimePoint at;
        std::uint64_t sequence = 0;
        std::size_t replica = 0;
        control::Event event;
        bool operator>(const Action& other) const { return std::tie(at, sequence) > std::tie(other.at, other.sequence); }
    };

    bool step(TimePoint limit);
    void schedule(std::size_t replica, TimePoint at, control::Event event);
    void handle(std::size_t replica, const control::Event& event);
    void perform(std::size_t replica, const control::Effect& effect);

    Options m_options;
    TimePoint m_now { Micros { 1'000'000 } };
    std::uint64_t m_sequence = 0;
    std::priority_queue<Action, std::vector<Action>, std::greater<>> m_actions;
    std::vector<Replica> m_replicas;
    std::map<std::uint64_t, Answer> m_answers;
    std::uint64_t m_nextToken = 0;
};

} // namespace curranttrail::tools
