#include "main/settings.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;

namespace {

// Reads a small settings structure with one key of each kind.
std::vector<std::string> errorsOf(const std::string& content)
{
    const SettingsFile file = SettingsFile::parse(content, "entry.toml");
    const SettingsTable root = file.root();
    root.text("name");
    root.endpoint("listen");
    root.duration("interval", Micros { 250'000 }, Micros { 1'000 }, Micros { 10'000'000 });
    root.integer("threads", 2, 1, 64);
    root.real("share", 0.5, 0, 1);
    root.boolean("on", false);
    root.texts("words");
    root.endpoints("peers");
    const SettingsTable log = root.table("log");
    log.integer("kept", 1024, 1, 100'000);
    for (const SettingsTable& token : root.tables("token"))
        token.choice("owner", { "nile", "stone" });
    std::vector<std::string> texts;
    for (const SettingsError& error : file.errors())
        texts.push_back(error.text());
    return texts;
}

const std::string kGood = "name = \"a\"\nlisten = \"127.0.0.1:0\"\n";

} // namespace

BOOST_AUTO_TEST_SUITE(Settings)

struct SettingsErrorCase {
    std::string content;
    std::string text;
};

// Guards against an error in the settings that is accepted, or reported without its line, key and expected value.
BOOST_AUTO_TEST_CASE(EveryKindOfErrorNamesLineKeyAndExpectation)
{
    const std::vector<SettingsErrorCase> errors {
        { "colour = 1", "entry.toml:3: colour: unknown key" },
        { "[log]\nkeep = 1", "entry.toml:4: log.keep: unknown key" },
        { "[[token]]\nowner = \"nile\"\nextra = 1", "entry.toml:5: token[0].extra: unknown key" },
        { "interval = 250", "entry.toml:3: interval: expected a duration with a unit (us, ms, s, min or h), such as \"250ms\"" },
        { "interval = \"250 parsecs\"", "entry.toml:3: interval: expected a duration with a unit (us, ms, s, min or h), such as \"250ms\"" },
        { "interval = \"1h\"", "entry.toml:3: interval: expected a duration from 1ms to 10s, found \"1h\"" },
        { "interval = \"-1s\"", "entry.toml:3: interval: expected a duration from 1ms to 10s, found \"-1s\"" },
        { "threads = \"two\"", "entry.toml:3: threads: expected an integer, found a string" },
        { "threads = 65", "entry.toml:3: threads: expected an integer from 1 to 64, found 65" },
        { "share = nan", "entry.toml:3: share: expected a number from 0 to 1, found nan" },
        { "share = true", "entry.toml:3: share: expected a number, found a boolean" },
        { "on = 1", "entry.toml:3: on: expected a boolean, found an integer" },
        { "words = [\"a\", 2]", "entry.toml:3: words[1]: expected a string, found an integer" },
        { "peers = [\"localhost:1\"]", "entry.toml:3: peers[0]: expected a numeric IPv4 address with a port, such as \"127.0.0.1:8080\"" },
        { "peers = [\"127.0.0.1:70000\"]", "entry.toml:3: peers[0]: expected a numeric IPv4 address with a port, such as \"127.0.0.1:8080\"" },
        { "log = 1", "entry.toml:3: log: expected a table, found an integer" },
        { "[[token]]\nowner = \"other\"", "entry.toml:4: token[0].owner: expected one of \"nile\", \"stone\"" },
        { "[[token]]", "entry.toml:3: token[0].owner: expected one of \"nile\", \"stone\", but the field is missing" },
    };
    for (const SettingsErrorCase& error : errors) {
        const std::vector<std::string> found = errorsOf(kGood + error.content);
        BOOST_REQUIRE_MESSAGE(found.size() == 1, error.content << " gives " << found.size() << " errors");
        BOOST_TEST(found.front() == error.text);
    }
}

// Guards against a check that stops at the first error.
BOOST_AUTO_TEST_CASE(AllErrorsOfAFileAreListedInOrder)
{
    const std::vector<std::string> found = errorsOf("listen = \"nowhere\"\nthreads = 0\ncolour = 1\n");
    BOOST_REQUIRE(found.size() == 4U);
    BOOST_TEST(found[0] == "entry.toml:1: name: expected a string, but the field is missing");
    BOOST_TEST(found[1] == "entry.toml:1: listen: expected a numeric IPv4 address with a port, such as \"127.0.0.1:8080\"");
    BOOST_TEST(found[2] == "entry.toml:2: threads: expected an integer from 1 to 64, found 0");
    BOOST_TEST(found[3] == "entry.toml:3: colour: unknown key");
}

// Guards against a file with a syntax error or a missing file that is read as empty.
BOOST_AUTO_TEST_CASE(SyntaxErrorsAndMissingFilesAreReported)
{
    const std::vector<std::string> found = errorsOf("name = \n");
    BOOST_REQUIRE(!found.empty());
    BOOST_TEST(found.front().starts_with("entry.toml:1: "));
    const SettingsFile missing = SettingsFile::load("/nonexistent/entry.toml");
    BOOST_REQUIRE(missing.errors().size() == 1U);
    BOOST_TEST(missing.errors().front().text() == "/nonexistent/entry.toml:0: the file cannot be read");
}

// Guards against valid values that are changed on reading.
BOOST_AUTO_TEST_CASE(GoodValuesAreReadWithTheirUnits)
{
    BOOST_TEST(errorsOf(kGood).empty());
    const SettingsFile file = SettingsFile::parse("a = \"1.5s\"\nb = \"20us\"\nc = \"127.0.0.1:9\"\n", "entry.toml");
    BOOST_TEST((file.root().duration("a", Micros { 0 }, Micros::max()) == Micros { 1'500'000 }));
    BOOST_TEST((file.root().duration("b", Micros { 0 }, Micros::max()) == Micros { 20 }));
    BOOST_TEST(file.root().endpoint("c").text() == "127.0.0.1:9");
    BOOST_TEST(file.errors().empty());
}

BOOST_AUTO_TEST_SUITE_END()
