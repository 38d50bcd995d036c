#include "tests/main/entry_fixture.h"

#include <boost/test/unit_test.hpp>

#include <openssl/sha.h>

#include <fmt/format.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>

#include <unistd.h>

namespace curranttrail::test {

namespace {

    std::string digest(const std::string& token)
    {
        std::array<unsigned char, SHA256_DIGEST_LENGTH> bytes {};
        SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(), bytes.data());
        return fmt::format("{:02x}", fmt::join(bytes, ""));
    }

} // namespace

EntryFixture::EntryFixture()
{
    // Targets that a loaded machine or a sanitizer build meets, so that no query is refused as overload.
    nile.setClass({ "search", "nile", "catalogue", 0.99, Micros { 2'000'000 }, 0.5, true });
    nile.setClass({ "order_check", "nile", "orders", 0.99, Micros { 2'000'000 }, 1.0, false });
    stone.setClass({ "names", "stone", "catalogue", 0.99, Micros { 100'000 }, 1.0, true });
    keyFile = (std::filesystem::temp_directory_path() / fmt::format("curranttrail-test-{}.key", ::getpid())).string();
    std::ofstream(keyFile) << kClusterKey;
    fleet = std::make_unique<stand_ins::BackendFleet>(threads, fleetSettings());
    platform = std::make_unique<stand_ins::PlatformStandIn>(threads, transport::Endpoint { "127.0.0.1", 0 }, Micros { 0 });
    platform->set(fleet->instancesJson());
}

EntryFixture::~EntryFixture()
{
    entry.reset();
    platform.reset();
    fleet.reset();
    threads.stop();
    std::remove(keyFile.c_str());
}

stand_ins::FleetSettings EntryFixture::fleetSettings()
{
    stand_ins::BackendBehaviour behaviour;
    behaviour.serviceTime = Micros { 1'000 };
    stand_ins::FleetSettings settings;
    settings.groups.push_back({ "nile", "catalogue", { "cairo-1" }, 3, 2, 100, 1, behaviour });
    settings.groups.push_back({ "nile", "orders", { "cairo-1" }, 1, 2, 100, 1, behaviour });
    return settings;
}

EntrySettings EntryFixture::settings(const std::string& name) const
{
    EntrySettings settings;
    settings.name = name;
    settings.owner = "nile";
    settings.dataCentre = "cairo-1";
    settings.http.maximumBodyBytes = 16'384;
    settings.clusterKeyFile = keyFile;
    settings.control = { { "nile-control", "nile", { "127.0.0.1", nile.port() } }, { "stone-control", "stone", { "127.0.0.1", stone.port() } } };
    settings.platform = { "127.0.0.1", platform->port() };
    settings.callers = { { "hutch-search", "nile", digest("nile-token") }, { "names", "stone", digest("stone-token") } };
    settings.instancesInterval = Micros { 50'000 };
    settings.reportInterval = Micros { 100'000 };
    settings.drainPause = Micros { 50'000 };
    settings.stopTimeout = Micros { 10'000'000 };
    return settings;
}

void EntryFixture::start()
{
    entry = std::make_unique<EntryDaemon>(settings("nile-e1"), sink);
    entry->start();
    BOOST_REQUIRE(eventually([this] { return !entry->notReadyReason(); }));
    // The instance may be ready before it has received the reports that list the shards.
    BOOST_REQUIRE(eventually([this] { return stand_ins::statusOf(ask(queryBody("search", "0"))) == "200"; }));
    BOOST_REQUIRE(eventually([this] { return stand_ins::bodyOf(ask(queryBody("search", "0"))).find("\"lacking\":[]") != std::string::npos; }));
}

std::string EntryFixture::ask(const std::string& body, const std::string& token) const
{
    stand_ins::RawClient client(entry->httpPort());
    client.send(queryText(body, token));
    return client.readMessage();
}

std::string EntryFixture::queryText(const std::string& body, const std::string& token)
{
    return stand_ins::httpRequestText("POST", "/v1/query", body, "Authorization: Bearer " + token + "\r\n");
}

std::string EntryFixture::queryBody(const std::string& className, const std::string& query, int deadlineMs, const std::string& requestId)
{
    std::string body = fmt::format(R"({{"class":"{}","deadline_ms":{},"query":{})", className, deadlineMs, query);
    if (!requestId.empty())
        body += fmt::format(R"(,"request_id":"{}","issued_at_ms":{})", requestId, transport::wallClockNow());
    return body + "}";
}

} // namespace curranttrail::test
