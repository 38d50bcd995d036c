#include "transport/io_threads.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <thread>
#include <vector>

namespace curranttrail::transport {

struct IoThreads::Impl {
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { context.get_executor() };
    std::vector<std::thread> threads;
};

IoThreads::IoThreads(unsigned threads)
    : m_impl(std::make_unique<Impl>())
{
    for (unsigned n = 0; n < threads; ++n)
        m_impl->threads.emplace_back([this] { m_impl->context.run(); });
}

IoThreads::~IoThreads()
{
    stop();
}

boost::asio::io_context& IoThreads::context()
{
    return m_impl->context;
}

void IoThreads::post(std::function<void()> function)
{
    boost::asio::post(m_impl->context, std::move(function));
}

void IoThreads::after(Micros delay, std::function<void()> function)
{
    const std::shared_ptr<boost::asio::steady_timer> timer = std::make_shared<boost::asio::steady_timer>(m_impl->context, delay);
    timer->async_wait([timer, function = std::move(function)](const boost::system::error_code& ec) {
        if (!ec)
            function();
    });
}

void IoThreads::stop()
{
    m_impl->work.reset();
    m_impl->context.stop();
    for (std::thread& thread : m_impl->threads) {
        if (thread.joinable())
            thread.join();
    }
}

} // namespace curranttrail::transport
