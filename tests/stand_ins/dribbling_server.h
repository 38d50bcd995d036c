#pragma once

#include "core/units.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <thread>

namespace curranttrail::stand_ins {

// How the end of an answer is marked.
enum class AnswerFraming {
    Length,
    Chunked,
    UntilClose,
};

// A server of a collection that answers requests without a body one byte at a time, on loopback.
class DribblingServer {
public:
    DribblingServer(std::string collection, AnswerFraming framing, Micros byteInterval);
    ~DribblingServer();
    DribblingServer(const DribblingServer&) = delete;
    DribblingServer& operator=(const DribblingServer&) = delete;

    const std::string& collection() const { return m_collection; }
    std::string address() const;

private:
    struct Connection;

    void accept();
    void read(const std::shared_ptr<Connection>& connection);
    void write(const std::shared_ptr<Connection>& connection);
    std::string answerTo(const std::string& request) const;

    const std::string m_collection;
    const AnswerFraming m_framing;
    const Micros m_byteInterval;
    boost::asio::io_context m_context { 1 };
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace curranttrail::stand_ins
