#include "core/random.h"
#include "platform/http_fields.h"
#include "platform/http_names.h"
#include "platform/route_document_json.h"
#include "platform/server_list_json.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <map>
#include <optional>
#include <string>

using namespace curranttrail;
using namespace curranttrail::platform;

namespace {

constexpr const char* kDocument = R"({"version":7,"routes":[
 {"name":"r1","host":"h","pathPrefix":"/a/","kind":"safe","timeoutMs":600,"sloMs":100,"priority":1,"gather":["s1","s2"],"maxAttempts":2,"topK":20,"minCoverage":0.89},
 {"name":"r2","host":"h","pathPrefix":"/b/","kind":"unsafe","timeoutMs":2000,"service":"s1"},
 {"name":"r3","host":"h","pathPrefix":"/c/","kind":"safe","timeoutMs":2000,"split":[{"service":"s1","weight":1},{"service":"s2","weight":3}]}],
 "services":[{"name":"s1","healthPath":"/health","maxConns":25},{"name":"s2","maxConns":9}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"later":{"x":1}})";

} // namespace

BOOST_AUTO_TEST_SUITE(Decoding)

// Guards against fields decoded into the wrong member, and against rejecting a document with unknown fields.
BOOST_AUTO_TEST_CASE(DocumentIsDecodedCompletely)
{
    const std::variant<routing::RouteDocument, DecodeError> decoded = decodeRouteDocument(kDocument);
    BOOST_REQUIRE(std::holds_alternative<routing::RouteDocument>(decoded));
    const routing::RouteDocument& document = std::get<routing::RouteDocument>(decoded);
    BOOST_TEST(document.version == 7u);
    BOOST_REQUIRE(document.routes.size() == 3u);
    const routing::ScatterTarget& scatter = std::get<routing::ScatterTarget>(document.routes[0].target);
    BOOST_TEST(scatter.shards.size() == 2u);
    BOOST_TEST(scatter.recordLimit == 20u);
    BOOST_TEST(scatter.minimumCoverage == 0.89);
    BOOST_TEST(document.routes[0].repeatable);
    BOOST_TEST((document.routes[0].latencyObjective == std::chrono::milliseconds { 100 }));
    BOOST_TEST(!document.routes[1].repeatable);
    BOOST_TEST((document.routes[1].latencyObjective == document.routes[1].timeout));
    BOOST_TEST(std::get<routing::SplitTarget>(document.routes[2].target).parts[1].weight == 3.0);
    BOOST_TEST(document.collections.at("s1").connectionLimit == 25u);
    BOOST_TEST(document.limits.maximumBodyBytes == 1'000u);
    BOOST_TEST(routing::invalidReason(document).empty());
}

// Guards against accepting part of a truncated document or of one with a field of the wrong type.
BOOST_AUTO_TEST_CASE(IncompleteOrMistypedDocumentIsRejected)
{
    const std::string whole = kDocument;
    for (std::size_t size = 0; size + 1 < whole.size(); size += 7)
        BOOST_TEST(std::holds_alternative<DecodeError>(decodeRouteDocument(whole.substr(0, size))));
    for (const char* text : { "[]", "{}", R"({"version":"7","routes":[],"services":[]})", R"({"version":-1,"routes":[],"services":[]})", R"({"version":1,"routes":{},"services":[]})",
             R"({"version":1,"routes":[{"host":"h","pathPrefix":"/a/","kind":"safe","service":"s"}],"services":[]})",
             R"({"version":1,"routes":[{"host":"h","pathPrefix":"/a/","kind":"safe","timeoutMs":"5","service":"s"}],"services":[]})" })
        BOOST_TEST(std::holds_alternative<DecodeError>(decodeRouteDocument(text)));
}

// Guards against an invalid entry that hides valid ones or is decoded as a server.
BOOST_AUTO_TEST_CASE(UnreadableEntryIsSkipped)
{
    const std::variant<ServerPage, DecodeError> decoded = decodeServerPage(R"({"instances":[
        {"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":2,"state":"ready","coldLeftMs":1500,"id":"i1"},
        {"service":"s","address":"10.0.0.2:80","zone":"z","slots":2,"state":"draining","id":"i2"},
        {"service":"s","address":"10.0.0.3:80","state":"sleeping","id":"i3"},
        {"service":5,"address":"10.0.0.4:80","state":"ready","id":"i4"},
        {"service":"s","address":"nowhere","state":"ready","id":"i5"}, 17],"nextToken":null})");
    BOOST_REQUIRE(std::holds_alternative<ServerPage>(decoded));
    const ServerPage& page = std::get<ServerPage>(decoded);
    BOOST_REQUIRE(page.servers.size() == 2u);
    BOOST_TEST((page.servers[0].coldStartRemaining == std::chrono::milliseconds { 1'500 }));
    BOOST_TEST(page.servers[1].leaving);
    BOOST_TEST(page.unreadable == 4u);
    BOOST_TEST(!page.nextToken);
    BOOST_TEST(std::holds_alternative<DecodeError>(decodeServerPage("{\"instances\":")));
    BOOST_TEST(serverPagePath("t") == "/instances?pageToken=t");
}

// Guards against an entry that cannot be read, whatever its bytes, and that hides the other servers: those that leave go on to get requests.
BOOST_AUTO_TEST_CASE(UnreadableBytesHideNoOtherEntry)
{
    const auto good = [](int n) { return fmt::format(R"({{"service":"s","address":"10.0.0.{0}:80","zone":"z","slots":2,"state":"draining","id":"i{0}"}})", n); };
    const std::string nested = std::string(100, '[') + std::string(100, ']');
    for (const std::string& bad : std::vector<std::string> { "{\"id\":\"\xff\xfe\xfd\"}", "{\"id\":\"\\ud800\"}", std::string("{\"id\":\"a\0b\"}", 12), "{\"id\":" + nested + "}", "{\"slots\":1e999999}", "{\"id\":\"open}", "{\"id\":[}", "{\"id\":\"x\",}", "{\"id\" \"x\"}", "\xff", "{]}", "{\"a\":\"\\\"}", good(9).replace(60, 9, "\"slots\":\"2\""), good(9).replace(10, 1, "\xc3") }) {
        for (int position = 0; position < 3; ++position) {
            std::vector<std::string> entries { good(1), good(2) };
            entries.insert(entries.begin() + position, bad);
            const std::variant<ServerPage, DecodeError> decoded = decodeServerPage(fmt::format("{{\"instances\": [{}], \"nextToken\":\"p-2\"}}", fmt::join(entries, " , ")));
            BOOST_TEST_REQUIRE(std::holds_alternative<ServerPage>(decoded), bad);
            const ServerPage& page = std::get<ServerPage>(decoded);
            BOOST_TEST(page.nextToken.value_or("") == "p-2");
            BOOST_TEST(page.servers.size() == 2u, bad << " at " << position);
            for (const routing::ServerRecord& record : page.servers)
                BOOST_TEST((record.leaving && (record.instance == "i1" || record.instance == "i2")));
        }
    }
}

// Guards against a list that is cut off with its connection and hides the servers at its end.
BOOST_AUTO_TEST_CASE(AListThatMayBeCutOffIsTakenOnlyAsAWhole)
{
    const std::string whole = R"({"instances":[{"service":"s","address":"10.0.0.1:80","zone":"z","slots":2,"state":"ready","id":"i1"},{"service":"s","address":"10.0.0.2:80","zone":"z","slots":2,"state":"ready","id":"i2","labels":["a"]}]})";
    BOOST_TEST(std::holds_alternative<ServerPage>(decodeServerPage(whole, true)));
    for (std::size_t size = 0; size < whole.size(); ++size)
        BOOST_TEST(std::holds_alternative<DecodeError>(decodeServerPage(whole.substr(0, size), true)), whole.substr(0, size));
}

// The same with entries of random bytes.
BOOST_DATA_TEST_CASE(RandomEntriesHideNoOtherEntry, boost::unit_test::data::xrange(1, 301), seed)
{
    Random random(static_cast<std::uint64_t>(seed));
    const auto below = [&random](std::size_t bound) { return boost::random::uniform_int_distribution<std::size_t>(0, bound - 1)(random); };
    const auto good = [](int n) { return fmt::format(R"({{"service":"s","address":"10.0.0.{0}:80","zone":"z","slots":2,"state":"ready","id":"i{0}"}})", n); };
    std::string bad = good(9);
    for (std::size_t n = 1 + below(6); n > 0; --n)
        bad[below(bad.size())] = below(2) == 0 ? "\"{}[],:\\"[below(8)] : static_cast<char>(below(256));
    const std::variant<ServerPage, DecodeError> decoded = decodeServerPage(fmt::format("{{\"instances\":[{},{},{}],\"nextToken\":null}}", good(1), bad, good(2)));
    BOOST_REQUIRE(std::holds_alternative<ServerPage>(decoded));
    const routing::ServerList& servers = std::get<ServerPage>(decoded).servers;
    for (const char* instance : { "i1", "i2" })
        BOOST_TEST((std::find_if(servers.begin(), servers.end(), [&](const routing::ServerRecord& record) { return record.instance == instance; }) != servers.end()), instance << " is hidden by " << bad);
}

// Guards against forwarding hop-by-hop fields and fields that are set for each attempt.
BOOST_AUTO_TEST_CASE(HopByHopFieldsAreNotForwarded)
{
    const transport::HttpFields fields { { "Host", "h:80" }, { "X-Curranttrail-Request-Id", "id1" }, { "X-Curranttrail-Deadline-Ms", "500" }, { "Connection", "keep-alive, X-Mine" },
        { "X-Mine", "1" }, { "Content-Length", "3" }, { "Transfer-Encoding", "chunked" }, { "X-Curranttrail-Expect-Instance", "forged" }, { "Accept", "a" } };
    const CallerFields caller = decodeCaller(fields);
    BOOST_TEST(caller.requestId == "id1");
    BOOST_TEST((caller.timeout == Micros { 500'000 }));
    transport::HttpFields forwarded = forwardedFields(fields, false);
    addAttemptFields(forwarded, Micros { 321'900 }, "i1", "");
    BOOST_TEST(forwarded.size() == 5u);
    BOOST_TEST(*transport::findField(forwarded, kDeadlineField) == "321");
    BOOST_TEST(*transport::findField(forwarded, kExpectedInstanceField) == "i1");
}

// Guards against quotas that the leader does not know because the document writes a name with escapes.
BOOST_AUTO_TEST_CASE(AccountsAreFoundWhereNamesAreEscaped)
{
    const std::string accounts = R"(":[{"name":"counter","apiKeys":["k-1"],"ratePerS":4}]})";
    for (const char* name : { R"({"tenants)", R"({"\u0074enants)" })
        BOOST_TEST(decodeAccounts(name + accounts).size() == 1u, name);
    BOOST_TEST(decodeAccounts(R"({"routes":[]})").empty());
}

// Guards against a key that is passed on, an account that the caller chooses, and a key read from another scheme or from one of two fields.
BOOST_AUTO_TEST_CASE(KeysAreReadAndNotForwarded)
{
    const auto digest = [](const std::string& value) { return keyDigestOf({ { "authorization", value } }); };
    for (const char* value : { "Token k-1", "token   k-1 " })
        BOOST_TEST((digest(value) == KeyDigest("k-1")));
    for (const char* value : { "", "Token", "Token ", "Tokenk-1", "Bearer k-1", "k-1" })
        BOOST_TEST(!digest(value).has_value());
    BOOST_TEST(!keyDigestOf({ { "Authorization", "Token k-1" }, { "Authorization", "Token k-2" } }).has_value());

    const transport::HttpFields fields { { "Accept", "a" }, { "AUTHORIZATION", "Token k-1" }, { "x-curranttrail-tenant", "forged" }, { "X-Curranttrail-Tenant", "again" } };
    BOOST_TEST(forwardedFields(fields, false).size() == 4u);
    transport::HttpFields forwarded = forwardedFields(fields, true);
    BOOST_TEST(forwarded.size() == 1u);
    addAttemptFields(forwarded, Micros { 1'000 }, "i1", "counter");
    BOOST_TEST(*transport::findField(forwarded, kAccountField) == "counter");
}

// Guards against misparsed load and limit fields, and against a load or a limit decoded from an invalid field.
BOOST_AUTO_TEST_CASE(ReplyHeadsAreDecoded)
{
    transport::RawReply reply { 200, { { "X-Curranttrail-Server-Load", "1, 4,2,250" }, { "X-Curranttrail-Server-Stamp", "s" }, { "Content-Encoding", "gzip" } }, {} };
    routing::ReplyHeader header = decodeReplyHeader(reply);
    BOOST_REQUIRE(header.load.has_value());
    BOOST_TEST(header.load->waiting == 4u);
    BOOST_TEST(header.load->slowdown == 2.5);
    BOOST_TEST(header.encoded);
    BOOST_TEST(!header.notExecuted);
    for (const char* text : { "", "1,2", "a,b,c", "1,2,3,x" }) {
        reply.fields[0].second = text;
        BOOST_TEST(!decodeReplyHeader(reply).load.has_value());
    }
    BOOST_TEST(!header.limit.has_value());
    reply.fields.emplace_back("Server-Limit", "");
    for (const auto& [text, value] : std::map<std::string, std::optional<double>> { { "25.9", 25.9 }, { " 0 ", 0.0 }, { "1e300", 1e300 }, { "-3", std::nullopt }, { "", std::nullopt }, { "nan", std::nullopt }, { "inf", std::nullopt }, { "5 a second", std::nullopt }, { "1e999", std::nullopt } }) {
        reply.fields.back().second = text;
        header = decodeReplyHeader(reply);
        BOOST_TEST_REQUIRE(header.limit.has_value());
        BOOST_TEST((header.limit->requestsPerSecond == value), text);
    }
    // A success with the field says nothing of a rest.
    reply.fields.emplace_back("Retry-After", "3");
    BOOST_TEST(!decodeReplyHeader(reply).rest.has_value());
    reply.status = 503;
    for (const auto& [text, micros] : std::map<std::string, std::optional<std::int64_t>> { { "1.5", 1'500'000 }, { "0", 0 }, { "1e300", 600'000'000 }, { "-1", std::nullopt }, { "nan", std::nullopt }, { "", std::nullopt }, { "Sat, 05 Dec 2026 08:00:00 GMT", std::nullopt } }) {
        reply.fields.back().second = text;
        header = decodeReplyHeader(reply);
        BOOST_TEST_REQUIRE(header.rest.has_value());
        BOOST_TEST(((header.rest->duration ? std::optional<std::int64_t> { header.rest->duration->count() } : std::nullopt) == micros), text);
    }
    BOOST_TEST(!header.leaving);
    reply.fields.emplace_back("Server-Leaving", "");
    for (const auto& [text, isLeaving] : std::map<std::string, bool> { { "1", true }, { " 1 ", true }, { "0", false }, { "", false }, { "yes", false } }) {
        reply.fields.back().second = text;
        BOOST_TEST(decodeReplyHeader(reply).leaving == isLeaving, text);
    }
    BOOST_TEST(header.coldRemaining.count() == 0);
    reply.fields.emplace_back("X-Curranttrail-Cold-Ms", "");
    for (const auto& [text, micros] : std::map<std::string, std::int64_t> { { "1500", 1'500'000 }, { " 0 ", 0 }, { "-5", 0 }, { "soon", 0 }, { "99999999999", 1'000'000'000 } }) {
        reply.fields.back().second = text;
        BOOST_TEST(decodeReplyHeader(reply).coldRemaining.count() == micros, text);
    }
    const transport::HttpFields merged = mergedReplyFields({ "a", "b" }, 1);
    BOOST_TEST(*transport::findField(merged, kPartStampsField) == "a, b");
    BOOST_TEST(*transport::findField(merged, kMissingPartsField) == "1");
}

BOOST_AUTO_TEST_SUITE_END()
