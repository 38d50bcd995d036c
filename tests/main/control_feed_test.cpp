#include "main/control_feed.h"
#include "main/group_links.h"
#include "tests/stand_ins/free_ports.h"
#include "transport/control_protocol.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <condition_variable>
#include <mutex>

using namespace curranttrail;

namespace {

const std::string kKey(40, 'k');
constexpr std::chrono::seconds kTestTimeout { 15 };
constexpr Micros kPartDelay { 100'000 };

// A control leader that holds one document and an order to evacuate a data centre. It sends a change of the server list with each reply, and parts only after a delay.
struct Leader {
    explicit Leader(bool knowsParts)
        : sendsParts(knowsParts)
        , server(loop, groupLinkOptions("leader", kKey, sink), "127.0.0.1", 0, [this](const transport::IncomingFrame& frame, const transport::FrameResponder& respond) { receive(frame, respond); })
    {
    }

    void receive(const transport::IncomingFrame& frame, const transport::FrameResponder& respond)
    {
        if (frame.type == static_cast<std::uint16_t>(transport::MessageType::Watch)) {
            const std::optional<control::WatchRequest> request = control::decodeWatch(frame.body);
            control::WatchReply reply;
            reply.leads = true;
            reply.documentVersion = 7;
            if (request->documentVersion < 7)
                reply.document = document;
            if (control::readsExtension(*request))
                reply.evacuatedDataCentres = { "giza" };
            reply.serverListVersion = { 1, ++revision };
            reply.serverChanges.emplace();
            loop.after(kPartDelay / 4, [respond, body = control::encodeWatchReply(reply)] { respond(body); });
        } else if (sendsParts && frame.type == static_cast<std::uint16_t>(transport::MessageType::FetchDocument)) {
            const std::optional<control::DocumentPartRequest> request = control::decodeDocumentPartRequest(frame.body);
            const control::DocumentPart part = control::documentPart(7, document, control::digestOf(document), request->offset);
            loop.after(kPartDelay, [respond, body = control::encodeDocumentPart(part)] { respond(body); });
        }
    }

    transport::EventSink sink { { .instance = "leader", .output = nullptr } };
    transport::EventLoop loop;
    const std::string document = std::string(1'400'000, 'd');
    const bool sendsParts;
    std::uint64_t revision = 0;
    transport::FrameServer server;
};

// A control instance at an address of its own, which gives the same reply to all watch requests until it is replaced.
struct ControlInstance {
    ControlInstance(const std::string& address, std::uint16_t port, control::WatchReply first)
        : reply(std::move(first))
        , server(loop, groupLinkOptions(address, kKey, sink), address, port, [this](const transport::IncomingFrame& frame, const transport::FrameResponder& respond) {
            if (frame.type == static_cast<std::uint16_t>(transport::MessageType::Watch))
                loop.after(kPartDelay / 4, [this, respond] { respond(control::encodeWatchReply(reply)); });
        })
    {
    }

    void setReply(control::WatchReply changed)
    {
        loop.runAndWait([&] { reply = std::move(changed); });
    }

    transport::EventSink sink { { .instance = "control", .output = nullptr } };
    transport::EventLoop loop;
    control::WatchReply reply;
    transport::FrameServer server;
};

// An entry instance that watches the leader.
struct Watcher {
    explicit Watcher(const Leader& leader)
        : Watcher("127.0.0.1", leader.server.port())
    {
    }

    Watcher(const std::string& seed, std::uint16_t port)
    {
        GroupConnection group;
        group.seeds = { { seed, port } };
        group.groupPort = port;
        group.linkKey = kKey;
        ControlFeed::Handlers handlers;
        handlers.reply = [this](const control::WatchReply& reply, const std::vector<policy::CrashRecord>&, TimePoint) {
            const std::lock_guard lock(mutex);
            ++replies;
            repliesWithoutEvacuation += reply.evacuatedDataCentres.empty() ? 1 : 0;
            if (document.empty())
                ++listsBeforeTheDocument;
            if (reply.document)
                document = *reply.document;
            changed.notify_all();
        };
        handlers.document = [this](std::string content) {
            const std::lock_guard lock(mutex);
            document = std::move(content);
            changed.notify_all();
        };
        handlers.disconnected = [this] { ++disconnections; };
        feed.emplace(control::EntryInstance { "watcher", "cairo", "" }, group, sink, std::move(handlers));
    }

    bool waitForReply()
    {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, kTestTimeout, [this] { return replies > 0; });
    }

    bool waitForDocument()
    {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, kTestTimeout, [this] { return !document.empty(); });
    }

    transport::EventSink sink { { .instance = "watcher", .output = nullptr } };
    std::mutex mutex;
    std::condition_variable changed;
    std::string document;
    int replies = 0;
    int listsBeforeTheDocument = 0;
    int repliesWithoutEvacuation = 0;
    std::atomic<int> disconnections { 0 };
    std::optional<ControlFeed> feed;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ControlFeeds)

// Guards against changes of the server list that wait behind a large document, and against a connection that is given up while it arrives.
BOOST_AUTO_TEST_CASE(ServerListsArriveWhileALargeDocumentIsTransferred)
{
    Leader leader(true);
    Watcher watcher(leader);
    BOOST_TEST(watcher.waitForDocument());
    BOOST_TEST((watcher.document == leader.document));
    BOOST_TEST(watcher.listsBeforeTheDocument >= 5);
    BOOST_TEST(watcher.disconnections == 0);
}

// Guards against an instance that gets no document from a control instance of an earlier build, which sends documents only as a whole, or gets
// it only after the time for which a part may take.
BOOST_AUTO_TEST_CASE(ALeaderThatKnowsNoPartsSendsTheDocumentAsAWhole)
{
    constexpr std::chrono::milliseconds kLimit { 1'800 };
    Leader leader(false);
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    Watcher watcher(leader);
    BOOST_TEST(watcher.waitForDocument());
    BOOST_TEST((std::chrono::steady_clock::now() - start < kLimit));
    BOOST_TEST((watcher.document == leader.document));
    BOOST_TEST(watcher.disconnections == 0);
}

// Parts arrive too late at first, so that the instance takes the leader for one of an earlier build. Guards against orders of which it is not
// told then.
BOOST_AUTO_TEST_CASE(AnInstanceThatFetchesWholeDocumentsHearsOfEvacuations)
{
    Leader leader(false);
    Watcher watcher(leader);
    BOOST_TEST(watcher.waitForDocument());
    const std::lock_guard lock(watcher.mutex);
    BOOST_TEST(watcher.repliesWithoutEvacuation == 0);
}

// The only seed has lost its disk and is no member of the group any more. Guards against an instance that finds no leader for good, and so
// keeps an old configuration, after it has asked the seed: the seed's list, itself, replaced the members.
BOOST_AUTO_TEST_CASE(ASeedOutsideTheGroupDoesNotHideTheMembers)
{
    const std::uint16_t port = stand_ins::findFreePorts({ "127.0.0.31", "127.0.0.32", "127.0.0.33" });
    const auto name = [port](const char* address) { return fmt::format("{}:{}", address, port); };
    control::WatchReply names;
    names.members = { name("127.0.0.31"), name("127.0.0.33") };
    control::WatchReply redirects = names;
    redirects.leader = name("127.0.0.31");
    control::WatchReply leads = names;
    leads.leads = true;
    control::WatchReply leadsWithDocument = leads;
    leadsWithDocument.documentVersion = 8;
    leadsWithDocument.document = "{}";
    std::optional<ControlInstance> leader(std::in_place, "127.0.0.31", port, leads);
    ControlInstance seed("127.0.0.32", port, redirects);
    ControlInstance successor("127.0.0.33", port, names);
    Watcher watcher("127.0.0.32", port);
    BOOST_TEST_REQUIRE(watcher.waitForReply());
    control::WatchReply outside;
    outside.members = { name("127.0.0.32") };
    seed.setReply(outside);
    successor.setReply(leadsWithDocument);
    leader.reset();
    BOOST_TEST(watcher.waitForDocument());
}

BOOST_AUTO_TEST_SUITE_END()
