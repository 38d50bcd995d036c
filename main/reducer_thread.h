#pragma once

#include "core/units.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace curranttrail {

// The thread that owns the state of a process: all reducers run on it, and only on it.
class ReducerThread {
public:
    using Task = std::function<void(TimePoint now)>;

    ~ReducerThread();

    // Registers a reducer's timer: the tick runs at or after each time that `next` returns. Must be called before start().
    void addWakeup(std::function<TimePoint()> next, Task tick);
    void start();
    // Runs the tasks posted so far and then ends the thread.
    void stop();

    // Queues a task. Tasks run in the order in which they are posted. May be called from any thread.
    void post(Task task);
    // Queues a task and waits until it has run. Must not be called on the reducer thread or after stop().
    void runAndWait(const Task& task);

private:
    struct Wakeup {
        std::function<TimePoint()> next;
        Task tick;
    };

    void run();
    void runWakeups();
    TimePoint nextWakeup() const;

    std::vector<Wakeup> m_wakeups;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Task> m_tasks;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace curranttrail
