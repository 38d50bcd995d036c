#include "scenario.h"

#include <csignal>

// A gateway is stopped by plan. Requests that callers send on their open connections more than 3 s later are passed on to servers, and
// are cut off when the process ends.
namespace {

using namespace review;

constexpr unsigned kGraceS = 6;
// Time of the requests after SIGTERM. The excuse for servers that are still at work holds for requests until 3 s after it.
constexpr Millis kSentAfterStop { 4'000 };
// max of work_ms of visit-log in the site file.
constexpr Millis kWork { 540 };
constexpr std::int64_t kDeadlineMs = 4'000;
constexpr std::size_t kServers = 2;
constexpr std::size_t kCallers = 14;

const char* const kDocument = R"({"version":3,"routes":[{"name":"visits","host":"site.example","pathPrefix":"/visits/","kind":"unsafe","timeoutMs":4000,"sloMs":400,"priority":2,"service":"plaque-log","maxAttempts":2}],)"
                              R"("services":[{"name":"plaque-log","healthPath":"/health","maxConns":37,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

struct Caller {
    Connection connection;
    std::string outcome;
    std::int64_t sentAt = 0;
    std::int64_t endedAt = 0;
    int status = 0;
    bool isCutOff = false;
};

void send(Caller& caller, const std::string& id, Record& record)
{
    const std::string body(300, 'v');
    caller.sentAt = record.elapsed();
    if (!caller.connection.send(format("POST /visits/log HTTP/1.1\r\nHost: site.example\r\nX-Curranttrail-Request-Id: %s\r\nX-Curranttrail-Deadline-Ms: %lld\r\nContent-Length: %zu\r\n\r\n", id.c_str(), static_cast<long long>(kDeadlineMs), body.size()) + body)) {
        caller.outcome = "could not be sent";
        return;
    }
    const std::optional<Message> response = readMessage(caller.connection, Millis { kDeadlineMs });
    caller.endedAt = record.elapsed();
    caller.status = response ? response->status() : 0;
    caller.isCutOff = !response && caller.connection.ended;
    caller.outcome = response ? "is answered with " + std::to_string(response->status()) : caller.isCutOff ? "gets no answer: the gateway closes the connection"
                                                                                                           : "is not answered before its deadline";
    record.add(format("request %s %s after %lld ms", id.c_str(), caller.outcome.c_str(), static_cast<long long>(caller.endedAt - caller.sentAt)));
}

bool scenario(const std::string& root, bool isTroubled, Record& record)
{
    SystemOptions options;
    options.graceS = kGraceS;
    System system(root, options, record);
    ServerList list(system.listAddress(), record);
    std::vector<std::unique_ptr<Server>> servers;
    for (std::size_t n = 0; n < kServers; ++n) {
        const std::string id = format("i-%zu", n + 1);
        servers.push_back(std::make_unique<Server>(Server::Options { "plaque-log", id, system.serverAddress(n), 2, 8, Millis { 5 } }, record));
        list.set({ id, "plaque-log", system.serverAddress(n).text(), format("z%zu", n) });
    }
    system.startAll();
    if (!system.putConfiguration(kDocument, Millis { 15'000 }) || !system.waitUntilReady(0, Millis { 10'000 }) || !system.waitUntilReady(1, Millis { 10'000 }))
        throw SetupError { "the system does not start" };
    sleepFor(Millis { 11'000 });

    std::vector<std::unique_ptr<Caller>> callers;
    for (std::size_t n = 0; n < kCallers; ++n) {
        callers.push_back(std::make_unique<Caller>());
        if (!callers.back()->connection.connect(system.frontAddress(0), Millis { 1'000 }))
            throw SetupError { "a caller cannot connect" };
        send(*callers.back(), format("before-%zu", n), record);
        if (callers.back()->status != 200)
            throw SetupError { "a request before the stop is not served" };
    }
    for (const std::unique_ptr<Server>& server : servers)
        server->setWork(kWork);
    const std::int64_t stoppedAt = record.elapsed();
    if (isTroubled) {
        system.gateway(0).signal(SIGTERM);
        record.add("planned: gateway 0 gets SIGTERM");
    }
    sleepFor(kSentAfterStop);
    record.add("the callers send one request each on their open connections");
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < kCallers; ++n)
        threads.emplace_back([&, n] { send(*callers[n], format("after-%zu", n), record); });
    for (std::thread& thread : threads)
        thread.join();

    std::size_t lost = 0;
    for (std::size_t n = 0; n < kCallers; ++n) {
        const std::string id = format("after-%zu", n);
        bool isPassedOn = false;
        for (const std::unique_ptr<Server>& server : servers) {
            for (const Arrival& arrival : server->arrivals())
                isPassedOn = isPassedOn || arrival.requestId == id;
        }
        const Caller& caller = *callers[n];
        const bool isExcused = caller.sentAt - stoppedAt <= 3'000 || caller.endedAt - caller.sentAt >= kDeadlineMs || caller.endedAt - stoppedAt > (kGraceS + 1) * 1'000;
        if (caller.isCutOff && isPassedOn && !isExcused)
            ++lost;
    }
    record.add(format("%zu of %zu requests were passed on to a server and cut off without an answer", lost, kCallers));
    return lost == 0;
}

} // namespace

int main(int argc, char** argv)
{
    return run(argc, argv, scenario);
}
