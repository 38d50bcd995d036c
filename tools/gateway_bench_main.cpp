// Measures the processor time of one subquery of a scattered request in an entry instance, without sockets.
#include "core/random.h"
#include "platform/http_fields.h"
#include "platform/http_names.h"
#include "routing/router.h"
#include "transport/raw_http.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <chrono>
#include <ctime>
#include <map>

using namespace curranttrail;

namespace {

double processorSeconds()
{
    timespec time {};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

struct RouterBenchmark {
    explicit RouterBenchmark(std::uint32_t shards)
        : router({ "gateway-1", "dc-a", 1, { 0.2, 1'000, Micros { 10'000'000 } } })
    {
        std::shared_ptr<routing::RouteDocument> document = std::make_shared<routing::RouteDocument>();
        document->version = 1;
        routing::ScatterTarget target { {}, 0.9, 20 };
        routing::ServerList servers;
        for (std::uint32_t shard = 0; shard < shards; ++shard) {
            const CollectionName name = fmt::format("shard{}", shard);
            target.shards.push_back(name);
            document->collections[name] = { name, 60 };
            for (std::uint32_t replica = 0; replica < 3; ++replica)
                servers.push_back({ fmt::format("i-{:08x}", shard * 3 + replica), name, "10.0.0.1:80", "dc-a", 2, false, Micros { 0 } });
        }
        document->routes.push_back({ "search", "example", "/", true, Micros { 600'000 }, Micros { 100'000 }, 1, 2, target });
        handle(routing::EntryInstancesChanged { { "gateway-1" } });
        handle(routing::RouteDocumentUpdated { document });
        handle(routing::ServerListReceived { servers, Micros { 0 } });
        for (int n = 0; n < 100; ++n) {
            now += Micros { 100'000 };
            handle(routing::Tick {});
        }
        for (int n = 0; n < 25; ++n)
            records += fmt::format("{:016x}", n * 7919);
    }

    void handle(const routing::Event& event)
    {
        for (routing::Effect& effect : router.handle(event, now)) {
            if (const routing::OpenConnection* open = std::get_if<routing::OpenConnection>(&effect))
                opened.push_back(open->connection);
            else if (const routing::SendAttempt* send = std::get_if<routing::SendAttempt>(&effect))
                sent.push_back(*send);
            else if (std::holds_alternative<routing::AnswerMerged>(effect))
                ++answers;
        }
        for (const ConnectionId connection : std::exchange(opened, {}))
            handle(routing::ConnectionOpened { connection });
    }

    void query(std::uint64_t number)
    {
        transport::RawRequest request { "GET", "/search/ab12", { { "Host", "example" }, { std::string { platform::kRequestIdField }, "9c41d07be2a35f68" }, { std::string { platform::kDeadlineField }, "600" } }, {} };
        const transport::HttpFields forwarded = platform::forwardedFields(request.fields, false);
        handle(routing::RequestArrived { { number }, "9c41d07be2a35f68", "example", "/search/ab12", Micros { 600'000 } });
        for (const routing::SendAttempt& send : std::exchange(sent, {})) {
            transport::HttpFields fields = forwarded;
            platform::addAttemptFields(fields, send.remaining, send.instance, send.account);
            bytes += transport::serializeRequest(request, fields).size();
            transport::RawReply reply { 200, { { std::string { platform::kRequestIdField }, "9c41d07be2a35f68" }, { std::string { platform::kServerStampField }, "3e1b.07.5a2.600.0.c9f2a4d1" }, { std::string { platform::kLoadField }, "1,0,2" }, { "Content-Length", "400" } }, records };
            now += Micros { 200 };
            routing::ReplyHeader header = platform::decodeReplyHeader(reply);
            routing::AttemptReplied event { send.attempt, {} };
            event.reply.kind = routing::classifyReply(header, "9c41d07be2a35f68");
            event.reply.stamp = header.stamp.value_or("");
            event.reply.load = header.load;
            event.reply.body = std::move(reply.body);
            handle(event);
        }
        now += Micros { 5'000 };
    }

    routing::Router router;
    TimePoint now { Micros { 1'000'000 } };
    std::vector<ConnectionId> opened;
    std::vector<routing::SendAttempt> sent;
    std::string records;
    std::uint64_t answers = 0;
    std::uint64_t bytes = 0;
};

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Measures the processor time of one subquery in an entry instance for raw requests, without sockets.", ' ', "1");
    TCLAP::ValueArg<std::uint32_t> shards("", "shards", "Number of shards of a query.", false, 90, "N", line);
    TCLAP::ValueArg<std::uint32_t> queries("", "queries", "Number of queries.", false, 2'000, "N", line);
    line.parse(argc, argv);
    RouterBenchmark bench(shards.getValue());
    const double start = processorSeconds();
    for (std::uint32_t n = 1; n <= queries.getValue(); ++n)
        bench.query(n);
    const double elapsed = processorSeconds() - start;
    fmt::print("answers {}, processor time of a subquery {:.2f} us\n", bench.answers, elapsed * 1e6 / queries.getValue() / shards.getValue());
    return bench.answers == queries.getValue() ? 0 : 1;
}
