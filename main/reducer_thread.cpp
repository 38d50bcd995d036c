#include "main/reducer_thread.h"

#include "transport/event_sink.h"

#include <algorithm>
#include <future>

namespace curranttrail {

ReducerThread::~ReducerThread()
{
    stop();
}

void ReducerThread::addWakeup(std::function<TimePoint()> next, Task tick)
{
    m_wakeups.push_back({ std::move(next), std::move(tick) });
}

void ReducerThread::start()
{
    m_thread = std::thread([this] { run(); });
}

void ReducerThread::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_one();
    if (m_thread.joinable())
        m_thread.join();
}

void ReducerThread::post(Task task)
{
    {
        const std::lock_guard lock(m_mutex);
        m_tasks.push_back(std::move(task));
    }
    m_changed.notify_one();
}

void ReducerThread::runAndWait(const Task& task)
{
    std::promise<void> done;
    post([&](TimePoint now) {
        task(now);
        done.set_value();
    });
    done.get_future().wait();
}

void ReducerThread::run()
{
    std::deque<Task> tasks;
    for (;;) {
        {
            std::unique_lock lock(m_mutex);
            const auto hasWork = [this] { return !m_tasks.empty() || m_stopping; };
            const TimePoint wakeup = nextWakeup();
            if (wakeup == kNever)
                m_changed.wait(lock, hasWork);
            else
                m_changed.wait_until(lock, wakeup, hasWork);
            if (m_stopping && m_tasks.empty())
                return;
            tasks.swap(m_tasks);
        }
        for (Task& task : tasks)
            task(transport::monotonicNow());
        tasks.clear();
        runWakeups();
    }
}

void ReducerThread::runWakeups()
{
    for (const Wakeup& wakeup : m_wakeups) {
        const TimePoint now = transport::monotonicNow();
        if (wakeup.next() <= now)
            wakeup.tick(now);
    }
}

TimePoint ReducerThread::nextWakeup() const
{
    TimePoint next = kNever;
    for (const Wakeup& wakeup : m_wakeups)
        next = std::min(next, wakeup.next());
    return next;
}

} // namespace curranttrail
