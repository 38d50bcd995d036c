#include "transport/signals.h"

#include "transport/io_threads.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace curranttrail::transport {

struct SignalHandler::Impl : std::enable_shared_from_this<SignalHandler::Impl> {
    Impl(boost::asio::io_context& context, std::function<void(int)> callback, std::function<void()> reload)
        : signals(context, SIGTERM, SIGINT)
        , callback(std::move(callback))
        , reload(std::move(reload))
    {
        if (this->reload)
            signals.add(SIGHUP);
    }

    void wait()
    {
        signals.async_wait([self = shared_from_this()](const boost::system::error_code& ec, int signal) {
            if (ec)
                return;
            if (signal == SIGHUP)
                self->reload();
            else
                self->callback(signal);
            self->wait();
        });
    }

    boost::asio::signal_set signals;
    std::function<void(int)> callback;
    std::function<void()> reload;
};

SignalHandler::SignalHandler(IoThreads& threads, std::function<void(int signal)> callback, std::function<void()> reload)
    : m_impl(std::make_shared<Impl>(threads.context(), std::move(callback), std::move(reload)))
{
    m_impl->wait();
}

SignalHandler::~SignalHandler()
{
    boost::system::error_code ec;
    m_impl->signals.cancel(ec);
}

} // namespace curranttrail::transport
