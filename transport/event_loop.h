#pragma once

#include "transport/frame_link.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace curranttrail::transport {

struct EventLoop::Implementation {
    boost::asio::io_context context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { context.get_executor() };
    std::thread thread;
};

} // namespace curranttrail::transport
