#include "core/not_run_status.h"
#include "routing/reply_classification.h"
#include "tests/routing/router_harness.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::routing;

namespace {

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

} // namespace

BOOST_AUTO_TEST_SUITE(NotRun)

// Guards against an order that runs twice because a server's own 503, 429, 408 or 421 to a request that has run is passed on, and its
// caller repeats what such a status promises not to have run.
BOOST_AUTO_TEST_CASE(AnOrderThatHasRunIsNotAnsweredWithAPromise)
{
    for (const unsigned status : { 408U, 429U, 503U }) {
        NotRunWorld world;
        const RequestKey key = world.send("/book/x");
        world.act(world.harness.takeSent().front(), { true, status, false, true });
        BOOST_TEST(world.harness.takeSent().empty(), "status " << status);
        const NotRunWorld::Request& request = world.requests.at(key.value);
        BOOST_TEST_REQUIRE(request.refusal.has_value(), "status " << status);
        BOOST_TEST((request.refusal->reason == RefusalReason::AttemptsFailed));
        BOOST_TEST(!request.refusal->notRun);
        BOOST_TEST(!request.refusal->retryAfter.has_value());
        BOOST_TEST((request.refusal->withheldStatus == status), "status " << status);
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

BOOST_AUTO_TEST_SUITE_END()
