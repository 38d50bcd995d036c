#include "tests/main/control_group.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <fstream>
#include <stdexcept>
#include <thread>

using namespace curranttrail;

namespace {

// SHA-256 of "nile-token" and "stone-token".
constexpr const char* kNileDigest = "690fc932d14d57aa026fd7f7ea966828ad3af1f81244208d835db73fd8f90bf4";
constexpr const char* kStoneDigest = "8d2bb07c0fd69c79a81f974885bfbde0bd7f0012bdc5503870c38c1bf271dab4";

void writeFile(const std::string& path, const std::string& content)
{
    std::ofstream(path) << content;
}

} // namespace

ControlGroup::ControlGroup()
{
    writeFile((folder.path() / "cluster.key").string(), std::string(40, 'c'));
    writeFile((folder.path() / "group.key").string(), std::string(40, 'g'));
    for (std::size_t n = 0; n < settings.size(); ++n) {
        ControlSettings& own = settings[n];
        own.name = fmt::format("nile-c{}", n + 1);
        own.owner = "nile";
        own.dataCentre = fmt::format("cairo-{}", n + 1);
        own.dataFolder = (folder.path() / own.name).string();
        own.clusterKeyFile = (folder.path() / "cluster.key").string();
        own.groupKeyFile = (folder.path() / "group.key").string();
        own.bootstrap = true;
        own.operators = { { "amina", "nile", kNileDigest }, { "thabo", "stone", kStoneDigest } };
        for (std::size_t other = 0; other < settings.size(); ++other) {
            if (other != n)
                own.peers.push_back({ fmt::format("nile-c{}", other + 1), {} });
        }
    }
}

ControlGroup::~ControlGroup()
{
    for (std::unique_ptr<ControlDaemon>& daemon : daemons)
        daemon.reset();
}

void ControlGroup::startAll()
{
    // The daemons choose free ports, so all of them listen before any of them connects.
    for (std::size_t n = 0; n < daemons.size(); ++n) {
        sinks[n] = std::make_unique<transport::EventSink>(transport::EventSink::Options { settings[n].name, Severity::Information, 1024, nullptr });
        daemons[n] = std::make_unique<ControlDaemon>(settings[n], *sinks[n]);
        settings[n].http.port = daemons[n]->httpPort();
        settings[n].group.port = daemons[n]->groupPort();
        settings[n].frames.port = daemons[n]->framesPort();
    }
    for (ControlSettings& own : settings) {
        for (GroupPeer& peer : own.peers)
            peer.address = settings[peer.name.back() - '1'].group;
    }
    for (std::size_t n = 0; n < daemons.size(); ++n)
        daemons[n]->start(settings[n].peers);
}

void ControlGroup::start(std::size_t n)
{
    daemons[n] = std::make_unique<ControlDaemon>(settings[n], *sinks[n]);
    daemons[n]->start(settings[n].peers);
}

void ControlGroup::stop(std::size_t n)
{
    daemons[n]->stop(std::chrono::milliseconds { 2000 });
    daemons[n].reset();
}

std::size_t ControlGroup::waitForLeader() const
{
    for (int tries = 0; tries < 1500; ++tries) {
        for (std::size_t n = 0; n < daemons.size(); ++n) {
            if (!daemons[n])
                continue;
            const HttpReply reply = send(n, "GET", "/v1/status");
            if (reply.status == 200 && objectOf(reply).at("newest").as_bool())
                return n;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds { 20 });
    }
    throw std::runtime_error("no leader within 30 s");
}

HttpReply ControlGroup::send(std::size_t n, const std::string& method, const std::string& path, const std::string& body, const std::string& token) const
{
    transport::HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    if (!token.empty())
        request.fields.emplace_back("Authorization", "Bearer " + token);
    return requestOnce(settings[n].http, request, std::chrono::seconds { 10 });
}

CliSettings ControlGroup::cliSettings() const
{
    CliSettings cli;
    cli.owner = "nile";
    cli.token = "nile-token";
    for (const ControlSettings& own : settings)
        cli.control.push_back({ own.name, own.owner, own.http });
    return cli;
}

std::string changeBody(double latencyMs, unsigned expectedVersion, const std::string& changeId)
{
    return boost::json::serialize(boost::json::object {
        { "target",
            boost::json::object { { "collection", "catalogue" }, { "percentile", 0.99 }, { "latency_ms", latencyMs }, { "minimum_coverage", 0.9 },
                { "repeatable", true } } },
        { "expected_version", expectedVersion }, { "change_id", changeId } });
}

boost::json::object objectOf(const HttpReply& reply)
{
    boost::system::error_code ec;
    const boost::json::value value = boost::json::parse(reply.body, ec);
    return !ec && value.is_object() ? value.get_object() : boost::json::object {};
}
