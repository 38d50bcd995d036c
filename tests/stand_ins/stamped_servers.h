#pragma once

#include "core/units.h"
#include "transport/raw_http_server.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace curranttrail::stand_ins {

// How a stand-in server behaves at present.
struct ServerBehaviour {
    Micros serviceTime { 2'000 };
    // Of each hundred requests: rejected as not run, run and then broken off, answered with another request's id.
    unsigned rejectedPercent = 0;
    unsigned abortedPercent = 0;
    unsigned wrongRequestIdPercent = 0;
    bool leaving = false;
    // Not listed and not answering.
    bool down = false;
};

// Backend servers of the platform and its list of them, on loopback, in one thread. Each answer is signed with the server's
// collection, its incarnation and the request, and the records of a part follow from the collection and the request alone.
class StampedServers {
public:
    StampedServers();
    ~StampedServers();
    StampedServers(const StampedServers&) = delete;
    StampedServers& operator=(const StampedServers&) = delete;

    // Adds a server and returns its index.
    std::size_t add(const std::string& collection);
    std::uint16_t portOf(std::size_t server) const;
    // Names another address in the list, such as that of a relay.
    void setListedAddress(std::size_t server, const std::string& address);
    void set(std::size_t server, const ServerBehaviour& behaviour);
    // Gives the server another incarnation at the same address.
    void restart(std::size_t server);
    std::uint16_t listPort() const;
    std::size_t size() const { return m_servers.size(); }

    // How often a request ran, on all servers together.
    unsigned runsOf(const std::string& requestId) const;
    // The most often that any request whose id begins so ran.
    unsigned maximumRuns(std::string_view prefix) const;

    static std::string recordsOf(std::string_view collection, std::string_view requestId);
    // The collection of a signature for this request, empty if it belongs to another one.
    static std::string collectionOf(std::string_view stamp, std::string_view requestId);

private:
    struct Server;

    void handle(Server& server, transport::ExchangeId exchange, const transport::RawRequest& request);
    std::string instanceListJson() const;

    boost::asio::io_context m_context { 1 };
    mutable std::mutex m_mutex;
    std::map<std::string, unsigned> m_runs;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::unique_ptr<transport::RawHttpServer> m_list;
    std::thread m_thread;
};

} // namespace curranttrail::stand_ins
