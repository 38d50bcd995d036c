#include "main/server_list_poller.h"

#include "main/feed_events.h"
#include "platform/server_list_json.h"

#include <fmt/format.h>

#include <mutex>
#include <utility>

namespace curranttrail {

namespace {
    constexpr Micros kPageTimeout { 800'000 };
    // Share of the permitted call rate that one fetch may use, so that an old and a new leader together stay within it.
    constexpr double kUsedShareOfRate = 0.6;
    // The first pages of a fetch, up to this share of the calls of a second, are requested without a pause, because a new leader
    // publishes the list only once it is complete. Two fetches within a second stay below the rate.
    constexpr double kUnpacedShareOfRate = 0.3;
    constexpr std::size_t kMaximumPages = 1'000;
}

struct ServerListPoller::State : std::enable_shared_from_this<State> {
    State(transport::IoThreads& io, transport::Endpoint endpoint, double callsPerSecond, transport::EventSink& eventSink, Callback deliver)
        : threads(io)
        , nextSource { std::move(endpoint), callsPerSecond }
        , sink(eventSink)
        , callback(std::move(deliver))
        , client(io, { 4u << 20, 1, std::chrono::milliseconds { 4'000 } })
    {
    }

    void fetch(const std::string& token)
    {
        transport::HttpRequest request;
        request.path = platform::serverPagePath(token);
        client.request(source.address, request, kPageTimeout, [weak = weak_from_this()](const transport::HttpResult& result) {
            if (const std::shared_ptr<State> self = weak.lock())
                self->handlePage(result);
        });
    }

    void handlePage(const transport::HttpResult& result)
    {
        if (!result.answered || result.response.status != 200) {
            fail(result.answered ? fmt::format("status {}", result.response.status) : result.error);
            return;
        }
        std::variant<platform::ServerPage, platform::DecodeError> decoded = platform::decodeServerPage(result.response.body, result.endsWithConnection);
        if (const platform::DecodeError* error = std::get_if<platform::DecodeError>(&decoded)) {
            fail(error->reason);
            return;
        }
        platform::ServerPage& page = std::get<platform::ServerPage>(decoded);
        unreadable += page.unreadable;
        // The age of the list counts from the start of the fetch.
        const Micros elapsed = std::chrono::duration_cast<Micros>(transport::monotonicNow() - startedAt);
        for (routing::ServerRecord& record : page.servers) {
            record.coldStartRemaining += record.coldStartRemaining.count() > 0 ? elapsed : Micros { 0 };
            servers.push_back(std::move(record));
        }
        if (page.nextToken && ++pages < static_cast<std::size_t>(source.callsPerSecond * kUnpacedShareOfRate)) {
            fetch(*page.nextToken);
            return;
        }
        if (page.nextToken && pages < kMaximumPages) {
            threads.after(Micros { static_cast<std::int64_t>(1e6 / (source.callsPerSecond * kUsedShareOfRate)) }, [weak = weak_from_this(), token = *page.nextToken] {
                if (const std::shared_ptr<State> self = weak.lock())
                    self->fetch(token);
            });
            return;
        }
        finish();
    }

    void finish()
    {
        if (std::exchange(isFailing, false))
            sink.log(events::kServerListRegained, { { "servers", fmt::to_string(servers.size()) } });
        if (unreadable != std::exchange(lastUnreadable, unreadable))
            sink.log(events::kServerListUnreadable, { { "entries", fmt::to_string(unreadable) } });
        callback(std::move(servers), startedAt);
        endFetch();
    }

    void fail(const std::string& reason)
    {
        if (!std::exchange(isFailing, true))
            sink.log(events::kServerListLost, { { "reason", reason } });
        endFetch();
    }

    void endFetch()
    {
        const std::lock_guard lock(mutex);
        isRunning = false;
    }

    transport::IoThreads& threads;
    struct Source {
        transport::Endpoint address;
        double callsPerSecond = 0;
    };
    transport::EventSink& sink;
    Callback callback;
    transport::HttpClient client;
    std::mutex mutex;
    bool isRunning = false;
    Source nextSource;
    // State of the fetch in progress.
    Source source;
    TimePoint startedAt;
    routing::ServerList servers;
    std::size_t pages = 0;
    std::size_t unreadable = 0;
    std::size_t lastUnreadable = 0;
    bool isFailing = false;
};

ServerListPoller::ServerListPoller(transport::IoThreads& threads, transport::Endpoint address, double callsPerSecond, transport::EventSink& sink, Callback callback)
    : m_state(std::make_shared<State>(threads, std::move(address), callsPerSecond, sink, std::move(callback)))
{
}

void ServerListPoller::setSource(transport::Endpoint address, double callsPerSecond)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->nextSource = { std::move(address), callsPerSecond };
}

void ServerListPoller::poll()
{
    {
        const std::lock_guard lock(m_state->mutex);
        if (std::exchange(m_state->isRunning, true))
            return;
        m_state->source = m_state->nextSource;
    }
    m_state->startedAt = transport::monotonicNow();
    m_state->servers.clear();
    m_state->pages = 0;
    m_state->unreadable = 0;
    m_state->fetch({});
}

} // namespace curranttrail
