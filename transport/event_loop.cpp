#include "transport/event_loop.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <future>

namespace curranttrail::transport {

namespace asio = boost::asio;

EventLoop::EventLoop()
    : m_implementation(std::make_unique<Implementation>())
{
    m_implementation->thread = std::thread([implementation = m_implementation.get()] { implementation->context.run(); });
}

EventLoop::~EventLoop()
{
    m_implementation->work.reset();
    m_implementation->context.stop();
    m_implementation->thread.join();
}

void EventLoop::post(std::function<void()> function)
{
    asio::post(m_implementation->context, std::move(function));
}

void EventLoop::after(Micros delay, std::function<void()> function)
{
    // asio timers are not thread-safe, so the timer is used on the loop's thread only.
    post([this, delay, function = std::move(function)]() mutable {
        std::shared_ptr<asio::steady_timer> timer = std::make_shared<asio::steady_timer>(m_implementation->context, delay);
        timer->async_wait([timer, function = std::move(function)](boost::system::error_code ec) {
            if (!ec)
                function();
        });
    });
}

void EventLoop::runAndWait(const std::function<void()>& function)
{
    if (onThread()) {
        function();
        return;
    }
    std::promise<void> done;
    post([&] {
        function();
        done.set_value();
    });
    done.get_future().wait();
}

bool EventLoop::onThread() const
{
    return std::this_thread::get_id() == m_implementation->thread.get_id();
}

} // namespace curranttrail::transport
