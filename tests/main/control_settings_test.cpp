#include "main/cli_settings.h"
#include "main/control_settings.h"
#include "main/journal_writer.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;

namespace {

const std::string kControlSettings = R"(
name = "nile-c1"
owner = "nile"
data_centre = "cairo-1"
data_folder = "data"
http = "127.0.0.1:7101"
frames = "127.0.0.1:7102"
cluster_key_file = "cluster.key"
[group]
address = "127.0.0.1:7103"
key_file = "group.key"
[[group.peers]]
name = "nile-c2"
address = "127.0.0.1:7203"
)";

std::vector<SettingsError> controlSettingsErrors(const std::string& content)
{
    const SettingsFile file = SettingsFile::parse(content, "control.toml");
    readControlSettings(file);
    return file.errors();
}

control::WriteJournal writeOf(std::uint64_t number, const std::vector<control::LogIndex>& indexes, control::Term term)
{
    control::WriteJournal write;
    write.write = number;
    for (control::LogIndex index : indexes)
        write.entries.push_back({ term, index, control::NoOperation {} });
    return write;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlSettingsFiles)

// Guards against a daemon that starts with a setting it ignores, or that refuses a good file.
BOOST_AUTO_TEST_CASE(EachSettingsErrorIsReported)
{
    BOOST_TEST(controlSettingsErrors(kControlSettings).empty());
    BOOST_TEST(controlSettingsErrors("weight = 3\n" + kControlSettings).at(0).key == "weight");
    BOOST_TEST(controlSettingsErrors(kControlSettings + "[[group.peers]]\nname = \"nile-c1\"\naddress = \"127.0.0.1:1\"\n").size() == 1U);
    BOOST_TEST(controlSettingsErrors(kControlSettings + "[[operators]]\nname = \"amina\"\nowner = \"nile\"\ntoken_sha256 = \"secret\"\n").size() == 1U);
    BOOST_TEST(controlSettingsErrors(kControlSettings + "[[partners]]\nname = \"stone-c1\"\nowner = \"stone\"\naddress = \"stone.example\"\n").size() == 1U);
    BOOST_TEST(controlSettingsErrors("").size() >= 7U);
}

// Guards against a command line without a control instance or with an empty token.
BOOST_AUTO_TEST_CASE(TheCommandLineNeedsATokenAndAnInstance)
{
    const SettingsFile file = SettingsFile::parse("owner = \"nile\"\ntoken_file = \"/nonexistent\"\n", "curranttrail.toml");
    readCliSettings(file);
    BOOST_TEST(file.errors().size() == 2U);
}

// Guards against combined writes that lose an entry, keep one that was replaced, or reorder a snapshot.
BOOST_AUTO_TEST_CASE(CombinedWritesHaveTheSameEffect)
{
    std::deque<control::WriteJournal> queue { writeOf(1, { 1, 2, 3 }, 1), writeOf(2, {}, 2), writeOf(3, { 3, 4 }, 2), writeOf(4, { 9 }, 2) };
    queue[1].hardState = control::HardState { 2, "nile-c2" };
    const control::WriteJournal combined = takeCombined(queue);
    BOOST_TEST(combined.write == 3U);
    BOOST_TEST(combined.hardState->term == 2U);
    BOOST_REQUIRE(combined.entries.size() == 4U);
    BOOST_TEST(combined.entries[2].term == 2U);
    BOOST_TEST(combined.entries[3].index == 4U);
    BOOST_TEST(queue.size() == 1U);
    queue.push_front(writeOf(5, { 1 }, 1));
    queue.front().snapshot = control::Snapshot {};
    BOOST_TEST(takeCombined(queue).write == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
