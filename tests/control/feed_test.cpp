#include "control/feed.h"
#include "control/quota_messages.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::control;

BOOST_AUTO_TEST_SUITE(FeedMessages)

// Guards against a reply that entry instances of an earlier build cannot decode: what they do not know follows all that they know, and is left
// out if there is nothing to say.
BOOST_AUTO_TEST_CASE(LeavingServersFollowTheRestOfAWatchReply)
{
    WatchReply reply;
    reply.members = { "10.0.0.1:7240", "10.0.0.2:7240" };
    reply.documentVersion = 7;
    reply.serverListVersion = { 3, 4 };
    const std::string plain = encodeWatchReply(reply);
    reply.leavingServers = { "i-1", "i-2" };
    const std::string extended = encodeWatchReply(reply);
    BOOST_TEST(extended.starts_with(plain));
    BOOST_TEST(decodeWatchReply(plain).value().leavingServers.empty());
    const std::optional<WatchReply> decoded = decodeWatchReply(extended);
    BOOST_REQUIRE(decoded);
    BOOST_TEST(decoded->leavingServers == reply.leavingServers);
    BOOST_TEST(decoded->documentVersion == 7u);
    BOOST_TEST(!decodeWatchReply(extended.substr(0, extended.size() - 1)));
    BOOST_TEST(!decodeWatchReply(plain + "x"));
}

// Guards against a leader's reply that entry instances of an earlier build cannot decode, or in which they find leaving servers that they use:
// they read the same bytes as names of leaving servers, which they take from instances that do not lead only.
BOOST_AUTO_TEST_CASE(EvacuationsFollowTheRestOfALeadersReply)
{
    WatchReply reply;
    reply.members = { "10.0.0.1:7240" };
    reply.documentVersion = 7;
    reply.leavingServers = { "dc-a" };
    const std::string leaving = encodeWatchReply(reply);
    reply.leavingServers.clear();
    const std::string unsaid = encodeWatchReply(reply);
    const std::string names = leaving.substr(unsaid.size());
    reply.leads = true;
    const std::string plain = encodeWatchReply(reply);
    reply.evacuatedDataCentres = { "dc-a" };
    BOOST_TEST(encodeWatchReply(reply) == plain + names);
    const std::optional<WatchReply> decoded = decodeWatchReply(plain + names);
    BOOST_REQUIRE(decoded);
    BOOST_TEST(decoded->evacuatedDataCentres == reply.evacuatedDataCentres);
    BOOST_TEST(decoded->leavingServers.empty());
    BOOST_TEST(decodeWatchReply(plain).value().evacuatedDataCentres.empty());
    // An instance that does not lead says nothing of evacuations.
    reply.leads = false;
    BOOST_TEST(encodeWatchReply(reply) == unsaid);
    BOOST_TEST(decodeWatchReply(leaving).value().evacuatedDataCentres.empty());
}

// Guards against an instance that is told of no evacuation because it fetches documents as a whole, and against an earlier build that is sent
// more than it decodes.
BOOST_AUTO_TEST_CASE(ARequestSaysWhetherItsSenderReadsWhatFollows)
{
    WatchRequest request;
    request.documentVersion = 7;
    request.entryListVersion = { 3, 4 };
    BOOST_TEST(!readsExtension(request));
    request.documentVersion |= kFetchesDocumentBit;
    BOOST_TEST(readsExtension(request));
    request.documentVersion = 7;
    request.entryListVersion.revision |= kReadsExtensionBit;
    BOOST_TEST(readsExtension(decodeWatch(encodeWatch(request)).value()));
}

// Guards against the same for the accounts that are at their limits, and against a list that is lost because it is empty.
BOOST_AUTO_TEST_CASE(LimitedAccountsFollowTheLeavingServers)
{
    WatchReply reply;
    reply.documentVersion = 7;
    reply.leavingServers = { "i-1" };
    const std::string known = encodeWatchReply(reply);
    BOOST_TEST(!decodeWatchReply(known).value().limitedAccounts);
    for (const std::vector<policy::AccountId>& accounts : { std::vector<policy::AccountId> {}, { { 5 }, { 6 } } }) {
        reply.limitedAccounts = accounts;
        const std::string extended = encodeWatchReply(reply);
        BOOST_TEST(extended.starts_with(known));
        BOOST_TEST((decodeWatchReply(extended).value().limitedAccounts == accounts));
        BOOST_TEST(!decodeWatchReply(extended.substr(0, extended.size() - 1)));
    }
    reply.leavingServers.clear();
    BOOST_TEST(decodeWatchReply(encodeWatchReply(reply)).value().limitedAccounts->size() == 2U);
}

// Guards against reports and replies that are altered on their way, and against ones that are cut short.
BOOST_AUTO_TEST_CASE(QuotaMessagesAreDecodedAsTheyWere)
{
    const std::string report = encodeQuotaReport({ 7, 8, { { { 1 }, 2, 3, 4, 5, 6 } } });
    BOOST_TEST(encodeQuotaReport(decodeQuotaReport(report).value()) == report);
    BOOST_TEST(decodeQuotaReport(report).value().accounts.at(0).covered == 6U);
    BOOST_TEST(!decodeQuotaReport(report.substr(0, report.size() - 1)));
    const std::string reply = encodeQuotaReply({ 8, { { { 1 }, 2 } }, { { 1 }, { 9 } } });
    BOOST_TEST(encodeQuotaReply(decodeQuotaReply(reply).value()) == reply);
    BOOST_TEST((decodeQuotaReply(reply).value().limited.at(1) == policy::AccountId { 9 }));
    BOOST_TEST(!decodeQuotaReply({}));
}

BOOST_AUTO_TEST_SUITE_END()
