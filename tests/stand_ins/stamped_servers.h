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

// Behaviour of a stand-in server.
struct ServerBehaviour {
    Micros serviceTime { 2'000 };
    // Requests in a hundred that are rejected as not run, that run without a reply, and that are answered with the id of another
    // request.
    unsigned rejectedPercent = 0;
    unsigned abortedPercent = 0;
    unsigned wrongRequestIdPercent = 0;
    // Requests in a hundred that run and are answered with one of the statuses that promise otherwise.
    unsigned ownStatusPercent = 0;
    bool leaving = false;
    // Replies state that the server leaves, though the list names it as good.
    bool saysLeaving = false;
    // The server is not listed and does not answer.
    bool down = false;
};

// Backend servers of the platform and the list of them, on loopback, in one thread. Each reply carries a stamp of the collection,
// the incarnation of the server and the request id. The records in a reply depend only on the collection and the request id.
class StampedServers {
public:
    StampedServers();
    ~StampedServers();
    StampedServers(const StampedServers&) = delete;
    StampedServers& operator=(const StampedServers&) = delete;

    // Adds a server and returns its index.
    std::size_t add(const std::string& collection);
    std::uint16_t portOf(std::size_t server) const;
    // Sets the address of the server in the list, such as that of a proxy.
    void setListedAddress(std::size_t server, const std::string& address);
    // Sets the data centre of the server in the list; z1 by default.
    void setDataCentre(std::size_t server, const std::string& dataCentre);
    void set(std::size_t server, const ServerBehaviour& behaviour);
    // Simulates a restart: increments the incarnation and keeps the address.
    void restart(std::size_t server);
    // Lets requests to the path end the server that runs them: it closes all connections and starts again after a while.
    void setFatalPath(const std::string& path);
    // Returns the number of servers that ended under such requests.
    unsigned ends() const;
    std::uint16_t listPort() const;
    std::size_t size() const { return m_servers.size(); }

    // Returns the number of times that a request ran, over all servers.
    unsigned runsOf(const std::string& requestId) const;
    // Returns the fields of the request that ran last.
    transport::HttpFields lastFields() const;
    // Returns the maximum number of runs over all requests whose id starts with the prefix.
    unsigned maximumRuns(std::string_view prefix) const;

    // Returns the records that a server of the collection sends in reply to the request.
    static std::string recordsOf(std::string_view collection, std::string_view requestId);
    // Returns the collection in the stamp, or an empty string if the stamp is malformed or belongs to another request.
    static std::string collectionOf(std::string_view stamp, std::string_view requestId);

private:
    struct Server;

    void start(Server& server, std::uint16_t port);
    void end(Server& server);
    void handle(Server& server, transport::ExchangeId exchange, const transport::RawRequest& request);
    std::string instanceListJson() const;

    boost::asio::io_context m_context { 1 };
    mutable std::mutex m_mutex;
    std::string m_fatalPath;
    unsigned m_ends = 0;
    std::map<std::string, unsigned> m_runs;
    transport::HttpFields m_lastFields;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::unique_ptr<transport::RawHttpServer> m_list;
    std::thread m_thread;
};

} // namespace curranttrail::stand_ins
