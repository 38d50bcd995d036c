#include "main/cli_client.h"
#include "main/cli_commands.h"
#include "main/operator_program.h"
#include "tests/main/control_group.h"
#include "transport/control_client.h"
#include "transport/frame_link.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <fstream>
#include <future>
#include <sstream>

using namespace curranttrail;

namespace {

// Fields that every refusal must have.
void checkRefusal(const HttpReply& reply, unsigned status, const std::string& error, const std::string& run)
{
    const boost::json::object body = objectOf(reply);
    BOOST_TEST(reply.status == status);
    BOOST_TEST(textIn(body, "error") == error);
    BOOST_TEST(textIn(body, "run") == run);
    BOOST_TEST(!textIn(body, "message").empty());
}

struct StartedControlGroup : ControlGroup {
    StartedControlGroup() { startAll(); }
};

struct ProgramResult {
    int exit = 0;
    std::string out;
    std::string err;
};

ProgramResult runProgram(std::vector<const char*> words)
{
    std::ostringstream out;
    std::ostringstream err;
    words.insert(words.begin(), "curranttrail");
    const int exit = runOperatorProgram(static_cast<int>(words.size()), words.data(), { out, err });
    return { exit, out.str(), err.str() };
}

// Writes settings of the command line for one control instance.
std::string writeCliSettings(const std::string& folder, const std::string& token, std::uint16_t port, const std::string& name)
{
    std::ofstream(folder + "/" + name + ".token") << token << '\n';
    std::string path = folder + "/" + name + ".toml";
    std::ofstream(path) << fmt::format("owner = \"nile\"\ntoken_file = \"{}/{}.token\"\ncommand_timeout = \"500ms\"\n"
                                       "[[control]]\nname = \"nile-c1\"\nowner = \"nile\"\naddress = \"127.0.0.1:{}\"\n",
        folder, name, port);
    return path;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlDaemons)

// Guards against access without a token, changes of another owner's classes, and input that is silently ignored.
BOOST_FIXTURE_TEST_CASE(BadRequestsAreRefusedAsNotRun, StartedControlGroup)
{
    const std::size_t leader = waitForLeader();
    checkRefusal(send(leader, "GET", "/v1/classes", "", ""), 401, "not_authenticated", "not_run");
    checkRefusal(send(leader, "GET", "/v1/status", "", "nile-tokeN"), 401, "not_authenticated", "not_run");
    checkRefusal(send(leader, "PUT", "/v1/classes/design", changeBody(80, 0, "a"), "stone-token"), 403, "wrong_owner", "not_run");
    checkRefusal(send(leader, "PUT", "/v1/classes/design", "{"), 400, "malformed", "not_run");
    checkRefusal(send(leader, "PUT", "/v1/classes/design", R"({"target":{"weight":3},"expected_version":0,"change_id":"a"})"), 400, "malformed", "not_run");
    checkRefusal(send(leader, "PUT", "/v1/classes/Design", changeBody(80, 0, "a")), 400, "invalid", "not_run");
    checkRefusal(send(leader, "GET", "/v1/classes/design"), 404, "unknown_class", "not_run");
    BOOST_TEST(numberIn(objectOf(send(leader, "GET", "/v1/classes")), "version") == 0U);
}

// Guards against two changes with the same expected version that both succeed, and against running a resent change twice.
BOOST_FIXTURE_TEST_CASE(OneOfTwoChangesSucceedsAndAResendGetsTheFirstAnswer, StartedControlGroup)
{
    const std::size_t leader = waitForLeader();
    const std::size_t follower = (leader + 1) % 3;
    const HttpReply first = send(follower, "PUT", "/v1/classes/design", changeBody(80, 0, "change-1"));
    BOOST_TEST(first.status == 200U);
    BOOST_TEST(numberIn(objectOf(first), "version") == 1U);
    const HttpReply conflict = send(leader, "PUT", "/v1/classes/design", changeBody(70, 0, "change-2"));
    checkRefusal(conflict, 409, "version_conflict", "not_run");
    BOOST_TEST(numberIn(objectOf(conflict), "version") == 1U);
    BOOST_TEST(send(leader, "PUT", "/v1/classes/design", changeBody(60, 1, "change-3")).status == 200U);
    for (std::size_t n = 0; n < 3; ++n)
        BOOST_TEST(send(n, "PUT", "/v1/classes/design", changeBody(80, 0, "change-1")).body == first.body);
    const boost::json::object shown = objectOf(send(leader, "GET", "/v1/classes/design"));
    BOOST_TEST(numberIn(shown, "version") == 2U);
    BOOST_TEST(shown.at("target").at("latency_ms").to_number<double>() == 60);
    BOOST_TEST(flagIn(shown, "newest"));
    BOOST_TEST(!flagIn(objectOf(send(follower, "GET", "/v1/classes/design")), "newest"));
}

// Guards against a replica without a quorum that accepts changes or reports its state as the newest, and against losing
// an accepted change when replicas restart.
BOOST_FIXTURE_TEST_CASE(AReplicaWithoutALeaseRefusesAndAcceptedChangesSurviveRestarts, StartedControlGroup)
{
    const std::size_t leader = waitForLeader();
    BOOST_REQUIRE(send(leader, "PUT", "/v1/classes/design", changeBody(80, 0, "change-1")).status == 200U);
    const std::size_t left = (leader + 1) % 3;
    stop(leader);
    stop((leader + 2) % 3);
    HttpReply reply = send(left, "PUT", "/v1/classes/design", changeBody(70, 1, "change-2"));
    // The replica may consider the old leader valid until its election timeout.
    for (int tries = 0; tries < 20 && textIn(objectOf(reply), "run") != "not_run"; ++tries)
        reply = send(left, "PUT", "/v1/classes/design", changeBody(70, 1, "change-2"));
    checkRefusal(reply, 503, "no_lease", "not_run");
    BOOST_TEST(!flagIn(objectOf(send(left, "GET", "/v1/classes")), "newest"));
    start(leader);
    start((leader + 2) % 3);
    const std::size_t next = waitForLeader();
    BOOST_TEST(numberIn(objectOf(send(next, "GET", "/v1/classes/design")), "version") == 1U);
}

// Guards against an entry instance that gets no configuration, whose claims are lost between replicas, or whose versions
// are missing from status.
BOOST_FIXTURE_TEST_CASE(AnEntryClientClaimsFetchesAndReports, StartedControlGroup)
{
    const std::size_t leader = waitForLeader();
    BOOST_REQUIRE(send(leader, "PUT", "/v1/classes/design", changeBody(80, 0, "change-1")).status == 200U);
    transport::EventLoop loop;
    transport::ControlClientOptions options;
    options.link.name = "nile-e1";
    options.link.clusterKey = std::string(40, 'c');
    for (const ControlSettings& own : settings)
        options.instances["nile"].push_back({ own.name, own.frames.address, own.frames.port });
    std::promise<void> fetched;
    bool done = false;
    transport::ControlClient client(loop, options, [&](const InstanceName&, const transport::ConfigurationAnswer& answer) {
        if (!done && answer.leaderWithLease && answer.classes.contains("nile") && answer.classes.at("nile").version.value == 1) {
            done = true;
            fetched.set_value();
        }
    });
    BOOST_REQUIRE((fetched.get_future().wait_for(std::chrono::seconds { 20 }) == std::future_status::ready));
    client.setReportedVersions({ "nile-e1", "cairo-1", "nile", { { "nile", { 1 } } } });
    const auto claim = [&](const std::string& holder) {
        std::promise<transport::SubmitResult> promise;
        client.submit("nile", { control::ClaimRequest { "order-1", holder, transport::wallClockNow(), 0 } }, std::chrono::seconds { 20 },
            [&](const transport::SubmitResult& result) { promise.set_value(result); });
        return promise.get_future().get();
    };
    BOOST_TEST((claim("nile-e1#1").result.status == control::CommandStatus::ClaimGranted));
    BOOST_TEST((claim("nile-e2#1").result.status == control::CommandStatus::ClaimDuplicate));
    boost::json::array centres;
    while (centres.empty())
        centres = objectOf(send(leader, "GET", "/v1/status")).at("in_force").as_array();
    BOOST_TEST(textIn(centres[0].as_object(), "data_centre") == "cairo-1");
    BOOST_TEST(numberIn(centres[0].as_object(), "instances") == 1U);

    // Without a quorum a claim must end as not proposed or unknown, never as granted.
    stop((leader + 1) % 3);
    stop((leader + 2) % 3);
    std::promise<transport::SubmitResult> last;
    client.submit("nile", { control::ClaimRequest { "order-2", "nile-e1#2", transport::wallClockNow(), 0 } }, std::chrono::seconds { 2 },
        [&](const transport::SubmitResult& result) { last.set_value(result); });
    BOOST_TEST((last.get_future().get().status != transport::SubmitStatus::Answered));
}

// Guards against exit codes that differ from the documented ones.
BOOST_FIXTURE_TEST_CASE(TheCommandLineReportsItsOutcomeByExitCode, StartedControlGroup)
{
    const std::size_t leader = waitForLeader();
    const std::string good = writeCliSettings(folder.path().string(), "nile-token", settings[leader].http.port, "good");
    const std::string bad = writeCliSettings(folder.path().string(), "wrong", settings[leader].http.port, "bad");
    const std::string unreachable = writeCliSettings(folder.path().string(), "nile-token", 1, "unreachable");
    const std::vector<const char*> create { "class", "set", "design", "--settings", good.c_str(), "--collection", "catalogue", "--percentile", "0.99",
        "--latency-ms", "80" };
    BOOST_TEST(runProgram(create).exit == 0);
    const ProgramResult conflict = runProgram({ "class", "set", "design", "--settings", good.c_str(), "--latency-ms", "70", "--expected-version", "7" });
    BOOST_TEST(conflict.exit == 1);
    BOOST_TEST(conflict.err.find("the current one is 1") != std::string::npos);
    const ProgramResult shown = runProgram({ "class", "show", "design", "--settings", good.c_str() });
    BOOST_TEST(shown.out.find("99% within 80 ms") != std::string::npos);
    BOOST_TEST(runProgram({ "class", "list", "--settings", bad.c_str() }).exit == 1);
    BOOST_TEST(runProgram({ "class", "paint" }).exit == 2);
    BOOST_TEST(runProgram({ "status", "--settings", "/nonexistent" }).exit == 2);
    BOOST_TEST(runProgram({ "class", "set", "design", "--settings", good.c_str(), "--weight", "3" }).exit == 2);
    BOOST_TEST(runProgram({ "status", "--settings", unreachable.c_str() }).exit == 4);
    BOOST_TEST(runProgram({ "class", "set", "design", "--settings", unreachable.c_str() }).exit == 4);
    const ProgramResult timeline = runProgram({ "timeline", "--settings", good.c_str(), "--class", "design" });
    BOOST_TEST(timeline.exit == 0);
    BOOST_TEST(timeline.out.find("change_requested") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
