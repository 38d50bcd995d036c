#include "tests/routing/router_harness.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::routing;

namespace {

// One client account with a quota and one without.
struct QuotaHarness : RouterHarness {
    QuotaHarness()
    {
        setUpCollections(4);
        document = std::make_shared<RouteDocument>(*document);
        ++document->version;
        document->accounts = { { "counter", { KeyDigest("c") }, std::nullopt, 0.5, 2 }, { "portal", { KeyDigest("p") } } };
        handle(RouteDocumentUpdated { document });
        handle(LimitedAccountsReceived {});
    }

    void ask(const std::string& key, const std::string& path = "/order/x")
    {
        RequestArrived event { { ++lastKey }, fmt::format("id-{}", lastKey), "site", path };
        event.keyDigest.emplace(key);
        handle(event);
    }

    // Answers the report that is due, if any, and returns it.
    std::optional<policy::QuotaReport> answerReport(std::uint32_t credits, const std::vector<policy::AccountId>& limited = {})
    {
        advance(milliseconds { 60 });
        const std::vector<ReportQuotas> reports = takeEffects<ReportQuotas>();
        if (reports.empty())
            return std::nullopt;
        policy::QuotaReply reply { reports.front().report.number, {}, limited };
        if (credits > 0)
            reply.grants.push_back({ counter, credits });
        handle(QuotasReplied { reply });
        return reports.front().report;
    }

    const policy::AccountId counter = policy::accountIdOf("counter");
};

} // namespace

BOOST_AUTO_TEST_SUITE(RouterQuotas)

// Guards against a server that works for a request beyond its account's quota, and against an account without a quota that is limited.
BOOST_AUTO_TEST_CASE(ARequestBeyondTheQuotaReachesNoServer)
{
    QuotaHarness harness;
    harness.takeEffects<ReportQuotas>();
    harness.ask("c");
    BOOST_TEST(harness.takeSent().size() == 1U);
    BOOST_TEST(harness.answerReport(0, { harness.counter }).value().accounts.at(0).overdrawn == 1U);
    harness.ask("c");
    harness.ask("p");
    BOOST_TEST(harness.takeSent().size() == 1U);
    const std::vector<RefuseRequest> refused = harness.takeEffects<RefuseRequest>();
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].reason == RefusalReason::QuotaUsedUp));
    BOOST_TEST(refused[0].notRun);
    // The account may send one request in two seconds.
    BOOST_TEST((refused[0].retryAfter >= milliseconds { 1'000 } && refused[0].retryAfter <= milliseconds { 3'000 }));
    BOOST_TEST(harness.answerReport(1, { harness.counter }).value().accounts.at(0).wanted == 1U);
    harness.ask("c");
    BOOST_TEST(harness.takeSent().size() == 1U);
}

// Guards against an account that pays for requests that no server has run.
BOOST_AUTO_TEST_CASE(ARequestThatWasNotRunGivesItsCreditBack)
{
    QuotaHarness harness;
    for (ServerRecord& record : harness.serverList)
        record.leaving = record.collection == "orders";
    harness.publish();
    harness.handle(LimitedAccountsReceived { { harness.counter } });
    harness.ask("c");
    harness.answerReport(1, { harness.counter });
    harness.takeEffects<RefuseRequest>();
    harness.ask("c");
    const std::vector<RefuseRequest> refused = harness.takeEffects<RefuseRequest>();
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].reason == RefusalReason::NoServer));
    harness.ask("c", "/search/x");
    BOOST_TEST(harness.takeSent().size() == 4U);
    harness.ask("c", "/search/x");
    BOOST_TEST(harness.takeSent().empty());
}

// Guards against credits that live on while the machine is suspended and the time of the router stands still.
BOOST_AUTO_TEST_CASE(ASuspensionEndsCredits)
{
    QuotaHarness harness;
    harness.handle(LimitedAccountsReceived { { harness.counter } });
    harness.ask("c");
    harness.answerReport(1, { harness.counter });
    harness.handle(ProcessSuspended { milliseconds { 5'000 } });
    harness.takeSent();
    harness.ask("c");
    BOOST_TEST(harness.takeSent().empty());
}

// Guards against messages of deployments that have no quotas.
BOOST_AUTO_TEST_CASE(NothingIsReportedWithoutQuotas)
{
    QuotaHarness harness;
    harness.takeEffects<ReportQuotas>();
    for (int n = 0; n < 20; ++n) {
        harness.ask("p");
        harness.advance(milliseconds { 100 });
    }
    BOOST_TEST(harness.takeEffects<ReportQuotas>().empty());
}

BOOST_AUTO_TEST_SUITE_END()
