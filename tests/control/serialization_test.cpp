#include "control/serialization.h"
#include "core/random.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::control;

namespace {

Snapshot exampleSnapshot()
{
    Snapshot snapshot { 9, 3, {} };
    snapshot.state.configuration.owner = "nile";
    snapshot.state.configuration.classes["orders"].name = "orders";
    snapshot.state.changes.push_back({ "id", "digest", { CommandStatus::VersionConflict, ConfigurationVersion { 4 }, Verdict::Ran, "r1", "text" } });
    snapshot.state.claims["q"] = { "h", 1, 2, Verdict::NotRun, { "h", "g" } };
    snapshot.state.voters = { "r0", "r1" };
    return snapshot;
}

std::vector<PeerMessage> exampleMessages()
{
    AppendRequest append { 3, 7, 2, 6, 11, 12, 13, true, {} };
    append.entries.push_back({ 3, 8, NoOperation {} });
    append.entries.push_back({ 3, 9, SetClass { "id", ConfigurationVersion { 4 }, {} } });
    append.entries.push_back({ 3, 10, ClaimRequest { "q", "h", -5, 6 } });
    append.entries.push_back({ 3, 11, SettleClaimRequest { "q", "h", Verdict::Ran } });
    append.entries.push_back({ 3, 12, ChangeMembers { { "r0", "r1" }, { "r2" } } });
    return { VoteRequest { 4, true, 5, 6 }, VoteReply { 4, false, true, 99 }, append, AppendReply { 4, true, 5, 6, true, 7 }, InstallSnapshot { 4, 5, exampleSnapshot() } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(Serialization)

// Guards against fields that are missing from the encoding.
BOOST_AUTO_TEST_CASE(MessagesKeepTheirContent)
{
    for (const PeerMessage& message : exampleMessages()) {
        const std::string bytes = encodePeerMessage(message);
        const std::optional<PeerMessage> decoded = decodePeerMessage(bytes);
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST(decoded->index() == message.index());
        BOOST_TEST(encodePeerMessage(*decoded) == bytes);
    }
    const AppendRequest append = std::get<AppendRequest>(*decodePeerMessage(encodePeerMessage(exampleMessages()[2])));
    BOOST_TEST((append.term == 3 && append.previousIndex == 7 && append.previousTerm == 2 && append.commitIndex == 6 && append.round == 11));
    BOOST_TEST((append.repairId == 12 && append.repairIndex == 13 && append.repairRequired));
    BOOST_TEST(std::get<ClaimRequest>(append.entries[2].command).issuedAt == -5);
}

// Guards against corrupt input that throws, hangs, allocates without limit or is accepted as a complete message.
BOOST_AUTO_TEST_CASE(DamagedInputIsRefused)
{
    Random random(7);
    for (const PeerMessage& message : exampleMessages()) {
        const std::string bytes = encodePeerMessage(message);
        for (std::size_t size = 0; size < bytes.size(); ++size)
            BOOST_TEST(!decodePeerMessage(bytes.substr(0, size)).has_value());
        BOOST_TEST(!decodePeerMessage(bytes + 'x').has_value());
        std::string otherVersion = bytes;
        ++otherVersion[0];
        BOOST_TEST(!decodePeerMessage(otherVersion).has_value());
        for (int n = 0; n < 2'000; ++n) {
            std::string changed = bytes;
            for (int flips = 0; flips < 3; ++flips)
                changed[random() % changed.size()] = static_cast<char>(random());
            const std::optional<PeerMessage> decoded = decodePeerMessage(changed);
            if (decoded)
                BOOST_TEST(encodePeerMessage(*decoded).size() <= changed.size() + 8);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
