#include "control/feed.h"

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

BOOST_AUTO_TEST_SUITE_END()
