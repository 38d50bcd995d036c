#include "main/entry_program.h"
#include "main/entry_settings.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include <unistd.h>

using namespace curranttrail;

namespace {

const std::string kDigest(64, 'a');
const std::string kGood = "name = \"nile-e1\"\nowner = \"nile\"\ndata_centre = \"cairo-1\"\nhttp = \"127.0.0.1:0\"\nframes = \"127.0.0.1:0\"\n"
                          "cluster_key_file = \"key\"\nplatform = \"127.0.0.1:1\"\n";

std::vector<std::string> errorsOf(const std::string& content)
{
    const SettingsFile file = SettingsFile::parse(content, "entry.toml");
    readEntrySettings(file);
    std::vector<std::string> texts;
    for (const SettingsError& error : file.errors())
        texts.push_back(error.text());
    return texts;
}

// Runs "curranttrail-entry --check" on a file with the content.
int exitCodeOfCheck(const std::string& content)
{
    const std::string path = (std::filesystem::temp_directory_path() / fmt::format("curranttrail-test-{}.toml", ::getpid())).string();
    std::ofstream(path) << content;
    const std::array<const char*, 3> arguments { "curranttrail-entry", "--check", path.c_str() };
    const int code = runEntryProgram(static_cast<int>(arguments.size()), arguments.data());
    std::remove(path.c_str());
    return code;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntrySettingsFiles)

// Guards against a complete file that is refused, and against values that are read into the wrong setting.
BOOST_AUTO_TEST_CASE(ACompleteFileIsRead)
{
    const SettingsFile file = SettingsFile::parse(kGood
            + "seeds = [\"127.0.0.1:7\"]\ndrain_pause = \"3s\"\n[limits]\nqueries = 9\nidle_time = \"2min\"\n[polls]\nreport_interval = \"250ms\"\n"
              "[[control]]\nname = \"c1\"\nowner = \"stone\"\naddress = \"127.0.0.1:8\"\n[[callers]]\nname = \"shop\"\nowner = \"nile\"\ntoken_sha256 = \""
            + kDigest + "\"\n[[distances]]\ndata_centre = \"cairo-2\"\nround_trip = \"500us\"\n",
        "entry.toml");
    const EntrySettings settings = readEntrySettings(file);
    BOOST_TEST(file.errors().empty());
    BOOST_TEST(settings.maximumQueries == 9U);
    BOOST_TEST((settings.drainPause == Micros { 3'000'000 }));
    BOOST_TEST((settings.http.idleTimeout == std::chrono::minutes { 2 }));
    BOOST_TEST((settings.reportInterval == Micros { 250'000 }));
    BOOST_TEST(settings.control.at(0).owner == "stone");
    BOOST_TEST(settings.callers.at(0).tokenDigest == kDigest);
    BOOST_TEST((settings.distances.at("cairo-2") == Micros { 500 }));
}

struct SettingsErrorCase {
    std::string content;
    std::string text;
};

// Guards against an instance that starts with invalid settings, and against an error without its position.
BOOST_AUTO_TEST_CASE(ErrorsNameLineAndKey)
{
    const std::vector<SettingsErrorCase> errors {
        { "weight = 1", "entry.toml:8: weight: unknown key" },
        { "threads = 0", "entry.toml:8: threads: expected an integer from 1 to 64, found 0" },
        { "drain_pause = 5", "entry.toml:8: drain_pause: expected a duration with a unit (us, ms, s, min or h), such as \"250ms\"" },
        { "seeds = [\"entry.example:1\"]", "entry.toml:8: seeds[0]: expected a numeric IPv4 address with a port, such as \"127.0.0.1:8080\"" },
        { "[[callers]]\nname = \"shop\"\nowner = \"nile\"\ntoken_sha256 = \"secret\"", "entry.toml:11: callers[0].token_sha256: expected 64 lower-case hexadecimal digits, as sha256sum prints them" },
        { "[[control]]\nname = \"c1\"\nowner = \"nile\"", "entry.toml:8: control[0].address: expected a numeric IPv4 address with a port, but the field is missing" },
    };
    for (const SettingsErrorCase& error : errors) {
        const std::vector<std::string> found = errorsOf(kGood + error.content);
        BOOST_REQUIRE_MESSAGE(found.size() == 1, error.content << " gives " << found.size() << " errors");
        BOOST_TEST(found.front() == error.text);
    }
}

// Guards against a check that starts the instance or ends with the wrong code.
BOOST_AUTO_TEST_CASE(CheckOnlyValidates)
{
    BOOST_TEST(exitCodeOfCheck(kGood) == 0);
    BOOST_TEST(exitCodeOfCheck(kGood + "threads = 0\n") == 2);
}

BOOST_AUTO_TEST_SUITE_END()
