#include "core/not_run_status.h"
#include "core/random.h"
#include "routing/reply_classification.h"
#include "tests/routing/router_harness.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <functional>

using namespace curranttrail;
using namespace curranttrail::routing;

namespace {

constexpr std::array<unsigned, 14> kStatuses { 200, 301, 400, 404, 408, 409, 421, 425, 429, 500, 501, 502, 503, 504 };

// What a server does with one attempt.
struct ServerAction {
    bool runs = false;
    // 0: the connection is lost instead.
    unsigned status = 0;
    bool statesNotRun = false;
    bool signs = false;
    bool neverAnswers = false;
};

ServerReply replyOf(const ServerAction& action)
{
    ReplyHeader header;
    header.status = action.status;
    header.notExecuted = action.statesNotRun;
    if (action.signs)
        header.stamp = "signed";
    ServerReply reply;
    reply.kind = classifyReply(header, "");
    reply.status = action.status;
    reply.stamp = header.stamp.value_or("");
    return reply;
}

// Sends requests and counts how often each runs and what its caller is told.
class NotRunWorld {
public:
    NotRunWorld() { harness.setUpCollections(2); }

    struct Request {
        bool isRepeatable = false;
        unsigned runs = 0;
        unsigned answers = 0;
        // True if the answer promises that the request has not run and will not run.
        bool isPromised = false;
        std::optional<unsigned> forwardedStatus;
        std::optional<RefuseRequest> refusal;
    };

    RequestKey send(const std::string& path)
    {
        const RequestKey key = harness.sendRequest(path);
        requests[key.value].isRepeatable = path != "/book/x";
        collect();
        return key;
    }

    // Lets the server that got an attempt act.
    void act(const SendAttempt& attempt, const ServerAction& action)
    {
        requests[attempt.request.value].runs += action.runs ? 1 : 0;
        // The router has closed the connection if it no longer waits for the attempt.
        if (action.neverAnswers || closed.contains(attempt.connection.value))
            return;
        if (action.status == 0)
            harness.handle(AttemptConnectionLost { attempt.attempt, "Connection reset by peer" });
        else
            harness.reply(attempt, replyOf(action));
        collect();
    }

    void collect()
    {
        for (const CloseConnection& effect : harness.takeEffects<CloseConnection>())
            closed.insert(effect.connection.value);
        for (const AnswerReply& answer : harness.takeEffects<AnswerReply>())
            record(answer.request, promisesNotRun(answer.reply.status)).forwardedStatus = answer.reply.status;
        for (const AnswerMerged& answer : harness.takeEffects<AnswerMerged>())
            record(answer.request, false);
        for (const RefuseRequest& refusal : harness.takeEffects<RefuseRequest>())
            record(refusal.request, refusal.notRun).refusal = refusal;
    }

    // Checks what must hold for every request that must not run twice, once all servers have acted.
    void check(const std::string& name) const
    {
        for (const auto& [key, request] : requests) {
            BOOST_TEST(request.answers == 1U, name << ": request " << key << " was answered " << request.answers << " times");
            if (request.isRepeatable)
                continue;
            BOOST_TEST(request.runs <= 1U, name << ": request " << key << " has run " << request.runs << " times");
            BOOST_TEST((!request.isPromised || request.runs == 0), name << ": request " << key << " has run, and its caller is told that it has not");
        }
    }

    RouterHarness harness;
    std::map<std::uint64_t, Request> requests;
    std::set<std::uint64_t> closed;

private:
    Request& record(RequestKey key, bool isPromised)
    {
        Request& request = requests[key.value];
        ++request.answers;
        request.isPromised = isPromised;
        return request;
    }
};

// All that a server may do with an attempt. A statement that the request did not run is true.
std::vector<ServerAction> allActions()
{
    std::vector<ServerAction> actions { { false, 0 }, { true, 0 }, { .runs = false, .neverAnswers = true }, { .runs = true, .neverAnswers = true } };
    for (const unsigned status : kStatuses) {
        for (const bool signs : { false, true }) {
            for (const bool runs : { false, true })
                actions.push_back({ runs, status, false, signs });
            if (status >= 400)
                actions.push_back({ false, status, true, signs });
        }
    }
    return actions;
}

// Plays random requests, outcomes and changes of the servers.
class RandomWorld {
public:
    explicit RandomWorld(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void run()
    {
        constexpr int kRequests = 60;
        constexpr std::array<const char*, 4> kPaths { "/book/x", "/book/x", "/order/x", "/search/x" };
        for (int n = 0; n < kRequests; ++n) {
            m_world.send(kPaths[below(kPaths.size())]);
            changeServers();
            pass(milliseconds { below(60) });
        }
        // Longer than any deadline.
        pass(milliseconds { 5'000 });
    }

    const NotRunWorld& world() const { return m_world; }

private:
    std::size_t below(std::size_t limit) { return boost::random::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random); }

    void pass(Micros duration)
    {
        RouterHarness& harness = m_world.harness;
        const TimePoint until = harness.now + duration;
        while (true) {
            for (const SendAttempt& attempt : harness.takeSent())
                m_due.emplace(harness.now + milliseconds { 1 + below(below(4) == 0 ? 3'000 : 40) }, attempt);
            const TimePoint next = std::min(harness.router.nextWakeup(), m_due.empty() ? until : m_due.begin()->first);
            if (next >= until)
                break;
            harness.now = std::max(harness.now, next);
            if (!m_due.empty() && m_due.begin()->first <= harness.now) {
                const SendAttempt attempt = m_due.extract(m_due.begin()).mapped();
                m_world.act(attempt, below(2) == 0 ? ServerAction { true, 200, false, true } : m_actions[below(m_actions.size())]);
            } else {
                harness.handle(Tick {});
                m_world.collect();
            }
        }
        harness.now = until;
    }

    void changeServers()
    {
        RouterHarness& harness = m_world.harness;
        switch (below(12)) {
        case 0:
            harness.handle(EvacuationsChanged { below(2) == 0 ? std::vector<DataCentreName> {} : std::vector<DataCentreName> { "dc-a" } });
            break;
        case 1:
            harness.serverList[below(harness.serverList.size())].leaving = below(3) == 0;
            harness.publish();
            break;
        case 2: {
            // A server restarts, and its address goes to another one.
            ServerRecord& server = harness.serverList[below(harness.serverList.size())];
            server.instance += "r";
            std::swap(server.address, harness.serverList[below(harness.serverList.size())].address);
            harness.publish();
            break;
        }
        case 3:
            if (below(8) == 0)
                harness.handle(StopScheduled { harness.now + milliseconds { 400 + below(2'000) } });
            break;
        default:
            break;
        }
        m_world.collect();
    }

    Random m_random;
    const std::vector<ServerAction> m_actions = allActions();
    NotRunWorld m_world;
    std::multimap<TimePoint, SendAttempt> m_due;
};

} // namespace

BOOST_AUTO_TEST_SUITE(NotRun)

// Guards against an order that runs twice because a server's own 503, 429, 408 or 421 to a request that has run is passed on, and its
// caller repeats what such a status promises not to have run.
BOOST_AUTO_TEST_CASE(AnOrderThatHasRunIsNotAnsweredWithAPromise)
{
    for (const unsigned status : kNotRunStatuses) {
        NotRunWorld world;
        const RequestKey key = world.send("/book/x");
        world.act(world.harness.takeSent().front(), { true, status, false, true });
        BOOST_TEST(world.harness.takeSent().empty(), "status " << status);
        const NotRunWorld::Request& request = world.requests.at(key.value);
        BOOST_TEST_REQUIRE(request.refusal.has_value(), "status " << status);
        BOOST_TEST((request.refusal->reason == RefusalReason::AttemptsFailed));
        BOOST_TEST(!request.refusal->notRun);
        BOOST_TEST(!request.refusal->retryAfter.has_value());
        BOOST_TEST((request.refusal->withheldStatus == (status == 421 ? std::nullopt : std::optional { status })), "status " << status);
    }
}

// Guards against more than that: other failures, and all failures of requests that may run again, are still the server's own.
BOOST_AUTO_TEST_CASE(OtherFailuresArePassedOn)
{
    for (const unsigned status : { 400U, 404U, 409U, 500U, 502U, 504U }) {
        NotRunWorld world;
        const RequestKey key = world.send("/book/x");
        world.act(world.harness.takeSent().front(), { true, status, false, true });
        BOOST_TEST((world.requests.at(key.value).forwardedStatus == status), "status " << status);
    }
    for (const unsigned status : { 408U, 429U, 500U, 503U }) {
        NotRunWorld world;
        const RequestKey key = world.send("/order/x");
        for (int n = 0; n < 2; ++n)
            world.act(world.harness.takeSent().front(), { true, status, false, true });
        BOOST_TEST((world.requests.at(key.value).forwardedStatus == status), "status " << status);
    }
}

// Guards against an order that is sent to a second server although the first one only answered 421, and against one that is not sent
// although the server states that it did not run it. Requests that may run again are sent in both cases.
BOOST_AUTO_TEST_CASE(OnlyAStatementLetsAnOrderBeRepeated)
{
    for (const unsigned status : { 400U, 421U, 429U, 503U }) {
        for (const bool states : { false, true }) {
            NotRunWorld world;
            world.send("/book/x");
            world.act(world.harness.takeSent().front(), { !states, status, states, true });
            BOOST_TEST((world.harness.takeSent().size() == 1) == states, "status " << status);
        }
    }
    // As many wrong instances as the document allows attempts.
    NotRunWorld world;
    const RequestKey key = world.send("/order/x");
    for (int n = 0; n < 2; ++n)
        world.act(world.harness.takeSent().front(), { false, 421, false, false });
    world.act(world.harness.takeSent().front(), { true, 200, false, true });
    BOOST_TEST((world.requests.at(key.value).forwardedStatus == 200U));
}

// Guards against a promise to the caller of an order that has run, and against a second run, for all pairs of what two servers do.
BOOST_AUTO_TEST_CASE(NoPairOfAnswersBreaksAPromise)
{
    const std::vector<ServerAction> actions = allActions();
    for (std::size_t first = 0; first < actions.size(); ++first) {
        for (std::size_t second = 0; second < actions.size(); ++second) {
            NotRunWorld world;
            world.send("/book/x");
            for (const std::size_t number : { first, second }) {
                for (const SendAttempt& attempt : world.harness.takeSent())
                    world.act(attempt, actions[number]);
                world.harness.advance(milliseconds { 200 });
                world.collect();
            }
            world.harness.advance(milliseconds { 3'000 });
            world.collect();
            world.check(fmt::format("actions {} and {}", first, second));
        }
    }
}

// The same over random histories, with hedges, lost connections, replaced and leaving servers, evacuations and stops.
BOOST_AUTO_TEST_CASE(NoHistoryBreaksAPromise)
{
    constexpr std::uint64_t kSeeds = 150;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        RandomWorld world(seed);
        world.run();
        world.world().check(fmt::format("seed {}", seed));
    }
}

BOOST_AUTO_TEST_SUITE_END()
