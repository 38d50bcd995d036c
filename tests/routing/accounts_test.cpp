#include "tests/routing/router_harness.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace curranttrail;
using namespace curranttrail::routing;

namespace {

// Two client accounts: "counter" with two keys and a priority of its own, and "portal". The route "book" is public.
struct AccountHarness : RouterHarness {
    AccountHarness()
    {
        setUpCollections(4);
        apply([](RouteDocument& next) {
            next.accounts = { { "counter", { KeyDigest("c-old"), KeyDigest("c-new") }, 0 }, { "portal", { KeyDigest("p-1") } } };
            next.routes[2].isPublic = true;
        });
    }

    // Puts the next version of the document in force.
    template <typename Change>
    void apply(Change change)
    {
        std::shared_ptr<RouteDocument> next = std::make_shared<RouteDocument>(*document);
        ++next->version;
        change(*next);
        document = next;
        handle(RouteDocumentUpdated { next });
    }

    void ask(const std::string& path, const std::optional<std::string>& key)
    {
        RequestArrived event { { ++lastKey }, fmt::format("id-{}", lastKey), "site", path };
        if (key)
            event.keyDigest.emplace(*key);
        handle(event);
    }

    // Returns the reason of the only refusal, or nothing if the request was sent.
    std::optional<RefusalReason> refusalOf(const std::string& path, const std::optional<std::string>& key)
    {
        takeSent();
        takeEffects<RefuseRequest>();
        ask(path, key);
        const std::vector<RefuseRequest> refused = takeEffects<RefuseRequest>();
        BOOST_TEST(refused.empty() == !sent.empty());
        return refused.empty() ? std::nullopt : std::optional<RefusalReason> { refused.front().reason };
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Accounts)

// Guards against a request that runs without the key of an account, and against one that is refused with it.
BOOST_AUTO_TEST_CASE(ARouteThatIsNotPublicNeedsTheKeyOfAnAccount)
{
    AccountHarness harness;
    for (const char* key : { "c-old", "c-new", "p-1" })
        BOOST_TEST(!harness.refusalOf("/order/x", key));
    for (const std::optional<std::string>& key : { std::optional<std::string> {}, std::optional<std::string> { "" }, std::optional<std::string> { "C-OLD" }, std::optional<std::string> { "counter" } })
        BOOST_TEST((harness.refusalOf("/order/x", key) == RefusalReason::UnknownKey));
    for (const std::optional<std::string>& key : { std::optional<std::string> {}, std::optional<std::string> { "wrong" }, std::optional<std::string> { "p-1" } })
        BOOST_TEST(!harness.refusalOf("/book/x", key));
    harness.apply([](RouteDocument& next) { next.accounts->front().keys = { KeyDigest("c-new") }; });
    BOOST_TEST((harness.refusalOf("/order/x", "c-old") == RefusalReason::UnknownKey));
    BOOST_TEST(!harness.refusalOf("/order/x", "c-new"));
    harness.apply([](RouteDocument& next) { next.accounts.reset(); });
    BOOST_TEST(!harness.refusalOf("/order/x", std::nullopt));
}

// Guards against a 401 for a key that was added while this instance had lost control: the caller would not try another instance.
BOOST_AUTO_TEST_CASE(AnUnknownKeyIsDeniedOnlyOnADocumentThatControlConfirms)
{
    AccountHarness harness;
    harness.advance(milliseconds { 1'100 });
    harness.ask("/order/x", "added-since");
    const std::vector<RefuseRequest> refused = harness.takeEffects<RefuseRequest>();
    BOOST_REQUIRE(refused.size() == 1u);
    BOOST_TEST((refused.front().reason == RefusalReason::DocumentUnconfirmed && refused.front().notRun && refused.front().retryAfter));
    harness.handle(ControlContacted {});
    BOOST_TEST((harness.refusalOf("/order/x", "added-since") == RefusalReason::UnknownKey));
}

// Guards against servers that are told of another account than that of the key, on the first attempts and on repeats.
BOOST_AUTO_TEST_CASE(ServersAreToldTheAccountOfTheKey)
{
    AccountHarness harness;
    const auto accounts = [&] {
        std::set<std::string> names;
        for (const SendAttempt& send : harness.takeSent())
            names.insert(send.account);
        return names;
    };
    harness.takeSent();
    harness.ask("/search/x", "c-old");
    harness.advance(milliseconds { 60 });
    BOOST_TEST((accounts() == std::set<std::string> { "counter" }));
    harness.ask("/order/x", "p-1");
    BOOST_TEST((accounts() == std::set<std::string> { "portal" }));
    harness.ask("/book/x", "p-1");
    BOOST_TEST((accounts() == std::set<std::string> { "portal" }));
    harness.ask("/book/x", "wrong");
    BOOST_TEST((accounts() == std::set<std::string> { "" }));
    // A request keeps the document that it arrived under.
    harness.ask("/order/x", "p-1");
    const std::vector<SendAttempt> sent = harness.takeSent();
    BOOST_REQUIRE(sent.size() == 1u);
    harness.apply([](RouteDocument& next) { next.accounts->pop_back(); });
    harness.reply(sent.front(), RouterHarness::failure(ReplyKind::NotExecuted, 503));
    BOOST_TEST((accounts() == std::set<std::string> { "portal" }));
}

// The urgent requests of one account wait with the ordinary ones of another for the same connections. Guards against a route whose
// priority counts for more than that of the account.
BOOST_AUTO_TEST_CASE(ThePriorityOfTheAccountComesBeforeThatOfTheRoute)
{
    AccountHarness harness;
    harness.apply([](RouteDocument& next) {
        next.collections["orders"].connectionLimit = 1;
        next.routes[0].target = SingleTarget { "orders" };
    });
    // The route "order" is less urgent than "search", the account "counter" more than either.
    for (int n = 0; n < 12; ++n)
        harness.ask("/search/x", "p-1");
    std::vector<SendAttempt> busy = harness.takeSent();
    harness.ask("/order/x", "c-new");
    BOOST_REQUIRE(harness.takeSent().empty());
    std::size_t later = 0;
    std::string first;
    while (!busy.empty() && first != "counter") {
        const SendAttempt send = busy.back();
        busy.pop_back();
        harness.reply(send, RouterHarness::success("s"));
        for (const SendAttempt& next : harness.takeSent()) {
            if (first.empty() && next.account == "counter")
                first = next.account;
            later += next.account == "portal" && first.empty() ? 1 : 0;
            busy.insert(busy.begin(), next);
        }
    }
    BOOST_TEST(first == "counter");
    // Each of the three servers may take one of the earlier requests first.
    BOOST_TEST(later < 3u);
}

// The servers have four times as many requests as slots, and one account sends most of them. Guards against a refusal of others, a late
// one, and one that also meets documents without accounts.
BOOST_AUTO_TEST_CASE(TheAccountThatAsksForMostIsRefusedWhileThereIsTooLittleRoom)
{
    const auto load = [](AccountHarness& harness, const std::optional<std::string>& key) {
        std::size_t refused = 0;
        for (int n = 0; n < 40; ++n) {
            harness.ask("/search/x", key);
            for (const RefuseRequest& refusal : harness.takeEffects<RefuseRequest>()) {
                BOOST_TEST((refusal.reason == RefusalReason::AccountOverShare && refusal.notRun && refusal.retryAfter));
                ++refused;
            }
            for (const SendAttempt& send : harness.takeSent()) {
                ServerReply reply = RouterHarness::success("s");
                reply.load = ServerLoad { 2, 6, 2, 1 };
                harness.reply(send, std::move(reply));
            }
            harness.advance(milliseconds { 20 });
            harness.handle(ControlContacted {});
        }
        return refused;
    };
    AccountHarness harness;
    BOOST_TEST(load(harness, "p-1") >= 10u);
    BOOST_TEST(harness.router.leastRoom() < 1);
    BOOST_TEST(!harness.refusalOf("/search/x", "c-old"));
    // Other servers have room.
    BOOST_TEST(!harness.refusalOf("/order/x", "p-1"));
    harness.apply([](RouteDocument& next) { next.accounts.reset(); });
    BOOST_TEST(load(harness, std::nullopt) == 0u);
    BOOST_TEST(harness.router.leastRoom() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
