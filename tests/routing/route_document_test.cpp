#include "routing/reply_classification.h"
#include "routing/route_document.h"
#include "routing/server_table.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::routing;

namespace {

RouteDocument validDocument()
{
    RouteDocument document;
    document.version = 3;
    document.collections["a"] = { "a", 10 };
    document.collections["b"] = { "b", 10 };
    document.routes.push_back({ "r1", "host", "/x/", true, Micros { 1'000 }, Micros { 500 }, 0, 1, SingleTarget { "a" } });
    document.routes.push_back({ "r2", "host", "/x/y/", true, Micros { 1'000 }, Micros { 500 }, 0, 1, SingleTarget { "b" } });
    document.routes.push_back({ "r3", "other", "/", true, Micros { 1'000 }, Micros { 500 }, 0, 1, SingleTarget { "b" } });
    return document;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RouteDocuments)

// Guards against accepting invalid documents and against rejecting valid ones.
BOOST_AUTO_TEST_CASE(InvalidDocumentsAreRejected)
{
    BOOST_TEST(invalidReason(validDocument()).empty());
    RouteDocument document = validDocument();
    document.routes[0].target = SingleTarget { "missing" };
    BOOST_TEST(!invalidReason(document).empty());
    document = validDocument();
    document.routes[1].prefix = "/x/";
    BOOST_TEST(!invalidReason(document).empty());
    document = validDocument();
    document.routes[0].timeout = Micros { 0 };
    BOOST_TEST(!invalidReason(document).empty());
    document = validDocument();
    document.routes[0].target = SplitTarget { { { "a", 0 }, { "b", 0 } } };
    BOOST_TEST(!invalidReason(document).empty());
    document.routes[0].target = SplitTarget { { { "a", 0 }, { "b", 1 } } };
    BOOST_TEST(invalidReason(document).empty());
    document.routes[0].target = ScatterTarget { { "a", "a" }, 0.5, 3 };
    BOOST_TEST(!invalidReason(document).empty());
    document.routes[0].target = ScatterTarget { { "a", "missing" }, 0.5, 3 };
    BOOST_TEST(!invalidReason(document).empty());
}

// Guards against a key that stands for two accounts, and against a refusal that tells the key.
BOOST_AUTO_TEST_CASE(AccountsDoNotShareKeys)
{
    RouteDocument document = validDocument();
    document.accounts = { { "counter", { KeyDigest("k-1"), KeyDigest("k-1"), KeyDigest("k-2") } }, { "portal", { KeyDigest("k-3") } }, { "archive" } };
    BOOST_TEST(invalidReason(document).empty());
    (*document.accounts)[2].keys = { KeyDigest("k-4"), KeyDigest("k-2") };
    BOOST_TEST(invalidReason(document) == "the client accounts \"counter\" and \"archive\" share a key");
}

// Guards against a shorter prefix that wins, a prefix that matches part of a path segment, and routes of another host.
BOOST_AUTO_TEST_CASE(TheLongestPrefixOfTheHostIsSelected)
{
    const RouteTable table(std::make_shared<const RouteDocument>(validDocument()));
    BOOST_REQUIRE(table.find("host", "/x/y/z"));
    BOOST_TEST(table.find("host", "/x/y/z")->name == "r2");
    BOOST_TEST(table.find("host:8080", "/x/z")->name == "r1");
    BOOST_TEST(table.find("host", "/x/yz")->name == "r1");
    BOOST_TEST(!table.find("host", "/xy/"));
    BOOST_TEST(!table.find("host", "x"));
    BOOST_TEST(table.find("other", "/any")->name == "r3");
    BOOST_TEST(!table.find("third", "/any"));
}

// Guards against accepting a reply to an earlier request, an unsigned success or an encoded body.
BOOST_AUTO_TEST_CASE(OnlyTheSignedReplyToThisRequestIsASuccess)
{
    ReplyHeader header;
    header.status = 200;
    header.stamp = "signed";
    header.requestId = "mine";
    BOOST_TEST((classifyReply(header, "mine") == ReplyKind::Success));
    BOOST_TEST((classifyReply(header, "other") == ReplyKind::Unusable));
    header.encoded = true;
    BOOST_TEST((classifyReply(header, "mine") == ReplyKind::Unusable));
    header.encoded = false;
    header.stamp.reset();
    BOOST_TEST((classifyReply(header, "mine") == ReplyKind::Unusable));
    header.status = 503;
    BOOST_TEST((classifyReply(header, "mine") == ReplyKind::Unusable));
    header.notExecuted = true;
    BOOST_TEST((classifyReply(header, "mine") == ReplyKind::NotExecuted));
    header.status = 421;
    BOOST_TEST((classifyReply(header, "mine") == ReplyKind::WrongInstance));
    header.notExecuted = false;
    BOOST_TEST((classifyReply(header, "mine") == ReplyKind::PossiblyWrongInstance));
    header.status = 500;
    header.stamp = "signed";
    BOOST_TEST((classifyReply(header, "mine") == ReplyKind::Failure));
}

// Guards against using a server whose listed address changed or that was removed from the list.
BOOST_AUTO_TEST_CASE(AMovedOrRemovedServerGetsNoWork)
{
    ServerTable table("dc-a", "gateway");
    const TimePoint now { Micros { 1'000'000 } };
    ServerList serverList { { "i1", "a", "10.0.0.1:80", "dc-a", 2, false, Micros { 0 } }, { "i2", "a", "10.0.0.2:80", "dc-a", 2, false, Micros { 0 } } };
    BOOST_TEST(table.apply(serverList, Micros { 0 }, now).added.size() == 2u);
    serverList[0].address = "10.0.0.9:80";
    BOOST_TEST(table.apply(serverList, Micros { 0 }, now).leaving.size() == 1u);
    BOOST_TEST(!table.find("i1")->acceptsWork());
    serverList.pop_back();
    BOOST_TEST(table.apply(serverList, Micros { 0 }, now).leaving.size() == 1u);
    BOOST_TEST((table.availability("a", 0, now) == Availability::NoServer));
    BOOST_TEST(table.evictRetired(now).added.empty());
    BOOST_TEST((table.availability("a", 0, now) == Availability::NoServer));
    BOOST_TEST(table.find("i2") == nullptr);
}

// Guards against a listed server that stays unused for good after another incarnation answered at its address. Changes of the
// list contain only servers that changed, so they do not bring it back.
BOOST_AUTO_TEST_CASE(AListedServerIsReinstatedAfterADelay)
{
    ServerTable table("dc-a", "gateway");
    TimePoint now { Micros { 1'000'000 } };
    table.apply(ServerList { { "i1", "a", "10.0.0.1:80", "dc-a", 2, false, Micros { 0 } }, { "i2", "a", "10.0.0.2:80", "dc-a", 2, false, Micros { 0 } } }, Micros { 0 }, now);
    table.find("i1")->retire(now);
    BOOST_TEST(table.apply(ServerListDelta { { { "i2", "a", "10.0.0.9:80", "dc-a", 2, false, Micros { 0 } } }, {} }, Micros { 0 }, now).leaving.size() == 1u);
    now += Micros { 1'000'000 };
    BOOST_TEST(table.evictRetired(now).added.empty());
    BOOST_TEST((table.availability("a", 0, now) == Availability::NoServer));
    now += Micros { 3'000'000 };
    BOOST_TEST(table.evictRetired(now).added.size() == 2u);
    BOOST_TEST(table.find("i1")->acceptsWork());
    BOOST_TEST(table.find("i2")->acceptsWork());
    BOOST_TEST(table.find("i2")->record.address == "10.0.0.9:80");
    table.apply(ServerListDelta { {}, { "i1", "i2" } }, Micros { 0 }, now);
    BOOST_TEST(table.evictRetired(now).added.empty());
    BOOST_TEST(table.all().empty());
}

BOOST_AUTO_TEST_SUITE_END()
