#include "main/group_links.h"
#include "tests/stand_ins/free_ports.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <thread>

using namespace curranttrail;

namespace {

constexpr const char* kKey = "a link key of at least 32 characters";
constexpr std::size_t kMaximumClients = 64;

// Two control instances of one group.
struct Fixture {
    Fixture()
    {
        GroupLinks::Handlers handlers;
        handlers.peer = [this](const InstanceName&, const control::PeerMessage&) { ++received; };
        receiver.start(handlers);
        sender.start({});
    }

    ~Fixture()
    {
        sender.stop();
        receiver.stop();
    }

    // Sends messages until one arrives. Returns false after 10 s.
    bool reachesReceiver()
    {
        const unsigned before = received;
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds { 10 };
        while (received == before && std::chrono::steady_clock::now() < deadline) {
            sender.sendToPeer(nameOf(12), control::VoteRequest {});
            std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
        }
        return received != before;
    }

    InstanceName nameOf(int host) const { return fmt::format("127.0.0.{}:{}", host, port); }

    const std::uint16_t port = stand_ins::findFreePorts({ "127.0.0.11", "127.0.0.12" });
    transport::EventSink sink { { "group-links", Severity::Debug, 4'096, nullptr } };
    std::atomic<unsigned> received = 0;
    GroupLinks receiver { nameOf(12), { "127.0.0.12", port }, kKey, sink };
    GroupLinks sender { nameOf(11), { "127.0.0.11", port }, kKey, sink };
};

} // namespace

BOOST_AUTO_TEST_SUITE(GroupLinkClients)

// Guards against an instance that sends nothing to a new member because it has met many others in its life.
BOOST_FIXTURE_TEST_CASE(AMemberIsReachedHoweverManyWereMetBefore, Fixture)
{
    for (int n = 0; n < 300; ++n) {
        sender.sendToPeer(fmt::format("127.0.7.{}:{}", n % 250 + 1, port + n / 250), control::VoteRequest {});
        BOOST_TEST(sender.clients() <= kMaximumClients);
    }
    BOOST_TEST(reachesReceiver());
}

// Guards against closing the connection to a member, which has been used least recently, for instances that come and go.
BOOST_FIXTURE_TEST_CASE(MembersKeepTheirConnections, Fixture)
{
    BOOST_TEST_REQUIRE(reachesReceiver());
    sender.loop().runAndWait([&] { sender.setMembers({ nameOf(12) }); });
    for (int n = 0; n < 300; ++n)
        sender.sendToPeer(fmt::format("127.0.7.{}:{}", n % 250 + 1, port + n / 250), control::VoteRequest {});
    const unsigned before = received;
    sender.sendToPeer(nameOf(12), control::VoteRequest {});
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds { 10 };
    while (received == before && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds { 5 });
    BOOST_TEST(received > before);
}

BOOST_AUTO_TEST_SUITE_END()
