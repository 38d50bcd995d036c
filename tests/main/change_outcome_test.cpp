#include "main/cli_client.h"
#include "main/control_api.h"
#include "transport/http_server.h"
#include "transport/io_threads.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>
#include <mutex>

using namespace curranttrail;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::Responder;
using transport::SubmitStatus;

namespace {

ClassChange someChange()
{
    ClassChange change;
    change.target.name = "design";
    change.target.owner = "nile";
    change.target.collection = "catalogue";
    change.changeId = "change-1";
    return change;
}

// A control instance that answers changes with the scripted statuses and bodies; the last one is repeated. A status of 0 sends
// no answer.
struct ScriptedControl {
    struct Answer {
        unsigned status;
        std::string body;
    };

    explicit ScriptedControl(std::deque<Answer> script)
        : answers(std::move(script))
    {
    }

    void handle(const HttpRequest& request, const Responder& responder)
    {
        const std::lock_guard lock(mutex);
        bodies.push_back(request.body);
        const Answer answer = answers.front();
        if (answers.size() > 1)
            answers.pop_front();
        HttpResponse response;
        response.status = answer.status;
        response.body = answer.body;
        if (answer.status == 0)
            pendingResponders.push_back(responder);
        else
            responder.send(response);
    }

    ChangeOutcome change(std::chrono::milliseconds limit = std::chrono::milliseconds { 600 })
    {
        CliSettings settings;
        settings.owner = "nile";
        settings.control = { { "nile-c1", "nile", { "127.0.0.1", server.port() } } };
        settings.requestTimeout = std::chrono::milliseconds { 300 };
        settings.commandTimeout = limit;
        return CliClient(settings).change("nile", someChange(), [](const std::string&) {});
    }

    transport::IoThreads threads { 1 };
    std::mutex mutex;
    std::deque<Answer> answers;
    std::vector<std::string> bodies;
    std::vector<Responder> pendingResponders;
    transport::HttpServer server { threads, {}, [this](const HttpRequest& request, const Responder& responder) { handle(request, responder); } };
};

const std::string kMayHaveRun = R"({"error":"outcome_unknown","run":"may_have_run","message":"resend"})";
const std::string kNotRun = R"({"error":"no_lease","run":"not_run","message":"no leader"})";
const std::string kForbidden = R"({"error":"wrong_owner","run":"not_run","message":"no"})";

} // namespace

BOOST_AUTO_TEST_SUITE(ChangeOutcomes)

// Guards against a response that reports "not run" for a change that may have been proposed, or that does not tell how to
// learn its outcome.
BOOST_AUTO_TEST_CASE(ResponsesStateWhetherAChangeMayHaveRun)
{
    const HttpResponse unknown = changeResponse(someChange(), { SubmitStatus::Unknown, {}, "leadership was lost" });
    BOOST_TEST(unknown.status == 503U);
    BOOST_TEST(unknown.body.find("\"run\":\"may_have_run\"") != std::string::npos);
    BOOST_TEST(unknown.body.find("change_id change-1") != std::string::npos);
    const HttpResponse notProposed = changeResponse(someChange(), { SubmitStatus::NotProposed, {}, "no leader" });
    BOOST_TEST(notProposed.status == 503U);
    BOOST_TEST(notProposed.body.find("\"run\":\"not_run\"") != std::string::npos);
    control::CommandResult conflict;
    conflict.status = control::CommandStatus::VersionConflict;
    conflict.version = { 7 };
    const HttpResponse refused = changeResponse(someChange(), { SubmitStatus::Answered, conflict, "" });
    BOOST_TEST(refused.status == 409U);
    BOOST_TEST(refused.body.find("\"version\":7") != std::string::npos);
}

// Guards against a resend that uses another change id, which could apply the change twice.
BOOST_AUTO_TEST_CASE(AnUnknownOutcomeIsResentWithTheSameId)
{
    ScriptedControl control({ { 503, kMayHaveRun }, { 0, "" }, { 200, R"({"version":3})" } });
    const ChangeOutcome outcome = control.change(std::chrono::seconds { 20 });
    BOOST_TEST((outcome.exit == CliExit::Ok));
    BOOST_TEST(outcome.version.value == 3U);
    BOOST_REQUIRE(control.bodies.size() == 3U);
    for (const std::string& body : control.bodies)
        BOOST_TEST(body == control.bodies.front());
}

// Guards against reporting a change as refused after an attempt with an unknown outcome.
BOOST_AUTO_TEST_CASE(OnlyAConclusiveAnswerEndsAnUnknownOutcome)
{
    BOOST_TEST((ScriptedControl({ { 503, kMayHaveRun } }).change().exit == CliExit::Unknown));
    BOOST_TEST((ScriptedControl({ { 0, "" } }).change().exit == CliExit::Unknown));
    BOOST_TEST((ScriptedControl({ { 500, "broken" } }).change().exit == CliExit::Unknown));
    BOOST_TEST((ScriptedControl({ { 503, kMayHaveRun }, { 403, kForbidden } }).change().exit == CliExit::Unknown));
    BOOST_TEST((ScriptedControl({ { 503, kMayHaveRun }, { 503, kNotRun } }).change().exit == CliExit::Unknown));
    BOOST_TEST((ScriptedControl({ { 503, kMayHaveRun }, { 409, R"({"version":2})" } }).change().exit == CliExit::Refused));
    BOOST_TEST((ScriptedControl({ { 503, kNotRun } }).change().exit == CliExit::Refused));
    BOOST_TEST((ScriptedControl({ { 403, kForbidden } }).change().exit == CliExit::Refused));
}

BOOST_AUTO_TEST_SUITE_END()
