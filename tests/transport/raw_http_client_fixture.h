#pragma once

#include "tests/stand_ins/raw_client.h"
#include "transport/raw_http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace curranttrail::transport {

using stand_ins::RawClient;
using stand_ins::RawServer;

// A client whose requests are "GET /ID" and whose replies name their request in the field Id.
struct RawHttpClientFixture {
    RawHttpClientFixture()
    {
        RawHttpClient::Handlers handlers;
        handlers.opened = [this](ConnectionId connection) { opened[connection.value] = true; };
        handlers.disconnected = [this](ConnectionId connection, const std::string& reason) { lost[connection.value] = reason; };
        handlers.belongsToRequest = [this](ConnectionId connection, const RawReply& reply) { return findField(reply.fields, "Id") == requestIds[connection.value]; };
        handlers.replied = [this](ConnectionId connection, const RawReply& reply, bool closing) {
            replies[connection.value].push_back(reply.body);
            closed[connection.value] = closing;
        };
        handlers.requestFailed = [this](ConnectionId connection, const std::string& reason) { failures[connection.value] = reason; };
        client = std::make_unique<RawHttpClient>(context, std::move(handlers));
    }

    template <typename Condition>
    bool runUntil(Condition condition, std::chrono::milliseconds limit = std::chrono::seconds { 30 })
    {
        const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
            context.restart();
            context.run_one_until(std::min(deadline, std::chrono::steady_clock::now() + std::chrono::milliseconds { 20 }));
        }
        return condition();
    }

    RawClient open(std::uint64_t connection)
    {
        client->open({ connection }, "127.0.0.1:" + std::to_string(server.port()));
        RawClient peer = server.accept();
        BOOST_TEST_REQUIRE(runUntil([&] { return opened[connection]; }));
        return peer;
    }

    void send(std::uint64_t connection, const std::string& id)
    {
        requestIds[connection] = id;
        client->send({ connection }, "GET /" + id + " HTTP/1.1\r\n\r\n", true);
    }

    // Sends a request that does not fit into the buffers of a server with a limited window.
    void sendLong(std::uint64_t connection, const std::string& id)
    {
        constexpr std::size_t kBodyBytes = 262'144;
        requestIds[connection] = id;
        client->send({ connection }, "POST /" + id + " HTTP/1.1\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kBodyBytes, 'x'), true);
    }

    // Runs the event loop for a time in which bytes on their way arrive.
    void settle(std::chrono::milliseconds duration = std::chrono::milliseconds { 5 })
    {
        runUntil([] { return false; }, duration);
    }

    boost::asio::io_context context;
    RawServer server;
    std::map<std::uint64_t, bool> opened;
    std::map<std::uint64_t, bool> closed;
    std::map<std::uint64_t, std::string> lost;
    std::map<std::uint64_t, std::string> requestIds;
    std::map<std::uint64_t, std::string> failures;
    std::map<std::uint64_t, std::vector<std::string>> replies;
    std::unique_ptr<RawHttpClient> client;
};

} // namespace curranttrail::transport
