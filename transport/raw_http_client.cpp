#include "transport/raw_http_client.h"

#include "transport/raw_http_parser.h"
#include "transport/relay_protocol.h"
#include "transport/relay_records.h"
#include "transport/socket_options.h"
#include "transport/stream_end.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace curranttrail::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {
    constexpr std::size_t kReadBufferBytes = 16'384;
    constexpr std::size_t kMaximumReplyBytes = 8u << 20;
    constexpr std::uint32_t kMaximumHeaderBytes = 65'536;
    // The parser consumes a body as it arrives. What it leaves is an incomplete header, chunk header or trailer, for which it has
    // no limit of its own.
    constexpr std::size_t kMaximumUnparsedBytes = 131'072;
    // Incomplete replies of all connections together. Above it the connection that holds the most is closed.
    constexpr std::size_t kMaximumBufferedBytes = 32u << 20;
    // Interim replies and replies to earlier requests that are dropped before the reply to one request.
    constexpr unsigned kMaximumDroppedReplies = 16;

    // The parser accepts any three digits.
    bool isHttpStatus(unsigned status)
    {
        return status >= 100 && status < 600;
    }
}

class RawHttpClient::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::io_context& context, Handlers handlers)
        : m_context(context)
        , m_handlers(std::move(handlers))
        , m_readBuffer(kReadBufferBytes)
    {
    }

    void stop()
    {
        m_handlers = {};
        error_code ec;
        for (const auto& [id, connection] : std::exchange(m_connections, {})) {
            connection->closed = true;
            connection->socket.close(ec);
        }
    }

    void open(ConnectionId id, const std::string& address)
    {
        const std::shared_ptr<Connection> connection = std::make_shared<Connection>(m_context, id);
        m_connections[id] = connection;
        const std::optional<Endpoint> endpoint = parseEndpoint(address);
        if (!endpoint) {
            asio::post(m_context, [self = shared_from_this(), connection] { self->end(connection, "the server address is not a numeric IPv4 address with a port"); });
            return;
        }
        error_code ec;
        const Tcp::endpoint target(asio::ip::make_address(endpoint->address, ec), endpoint->port);
        connection->socket.async_connect(target, [self = shared_from_this(), connection](const error_code& ec) {
            if (connection->closed)
                return;
            if (ec) {
                self->end(connection, ec.message());
                return;
            }
            prepareSocket(*connection);
            self->beginReading(connection);
        });
    }

    void openThroughRelay(ConnectionId id, const std::string& address, const std::string& relay, std::string_view key)
    {
        const std::shared_ptr<Connection> connection = std::make_shared<Connection>(m_context, id);
        m_connections[id] = connection;
        const std::optional<Endpoint> endpoint = parseEndpoint(relay);
        if (!endpoint) {
            asio::post(m_context, [self = shared_from_this(), connection] { self->endRelay(connection, "the relay's address is not a numeric IPv4 address with a port"); });
            return;
        }
        connection->isRelayed = true;
        connection->output = relayRequest(key, address);
        error_code ec;
        const Tcp::endpoint target(asio::ip::make_address(endpoint->address, ec), endpoint->port);
        connection->socket.async_connect(target, [self = shared_from_this(), connection](const error_code& ec) {
            if (connection->closed)
                return;
            if (ec) {
                self->endRelay(connection, ec.message());
                return;
            }
            prepareSocket(*connection);
            self->requestRelay(connection);
        });
    }

    void send(ConnectionId id, std::string text, bool expectsBody)
    {
        const auto it = m_connections.find(id);
        if (it == m_connections.end())
            return;
        const std::shared_ptr<Connection> connection = it->second;
        connection->busy = true;
        connection->writing = true;
        connection->expectsBody = expectsBody;
        connection->droppedReplies = 0;
        connection->output = std::move(text);
        connection->bytesWritten = 0;
        connection->unacknowledgedLimit.setRequestBytes(connection->socket.native_handle(), connection->output.size());
        prepareParser(*connection);
        // A request usually fits into the socket's send buffer. Writing it synchronously saves an iteration of the event loop.
        write(connection);
    }

    void close(ConnectionId id)
    {
        const auto it = m_connections.find(id);
        if (it == m_connections.end())
            return;
        closeSocket(it->second);
    }

private:
    using Parser = http::response_parser<http::string_body>;

    enum class ReadResult {
        NothingArrived,
        BytesOrEnd,
    };

    struct Connection {
        Connection(asio::io_context& context, ConnectionId number)
            : socket(context)
            , id(number)
        {
        }

        Tcp::socket socket;
        ConnectionId id;
        std::optional<Parser> parser;
        std::string unparsedBytes;
        std::string output;
        // Bytes of the output that have been written.
        std::size_t bytesWritten = 0;
        StreamEnd streamEnd;
        UnacknowledgedLimit unacknowledgedLimit;
        bool busy = false;
        // True until the request is completely written, also after a failed write.
        bool writing = false;
        bool expectsBody = true;
        bool waitingForBytes = false;
        bool closed = false;
        // Replies that were dropped since the request was sent.
        unsigned droppedReplies = 0;
        // True once a reply to another request arrived. Another one may follow later, so the connection is not reused.
        bool outOfStep = false;
        // Bytes of the incomplete reply.
        std::size_t bufferedBytes = 0;
        bool isRelayed = false;
        // Set on a relayed connection whose relay sends records.
        std::optional<RelayRecordReader> records;
    };

    static void prepareSocket(Connection& connection)
    {
        error_code ignored;
        connection.socket.set_option(Tcp::no_delay(true), ignored);
        connection.socket.non_blocking(true, ignored);
        connection.unacknowledgedLimit.apply(connection.socket.native_handle());
    }

    void beginReading(const std::shared_ptr<Connection>& connection)
    {
        waitForBytes(connection);
        m_handlers.opened(connection->id);
    }

    void requestRelay(const std::shared_ptr<Connection>& connection)
    {
        asio::async_write(connection->socket, asio::buffer(connection->output), [self = shared_from_this(), connection](const error_code& ec, std::size_t) {
            if (connection->closed)
                return;
            connection->output.clear();
            if (ec) {
                self->endRelay(connection, ec.message());
                return;
            }
            asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->unparsedBytes, kMaximumRelayHeadBytes), kRelayHeadEnd, [self, connection](const error_code& readError, std::size_t size) {
                if (!connection->closed)
                    self->takeRelayResponse(connection, readError, size);
            });
        });
    }

    void takeRelayResponse(const std::shared_ptr<Connection>& connection, const error_code& ec, std::size_t headSize)
    {
        const RelayResponse response = ec ? RelayResponse {} : parseRelayResponse(std::string_view { connection->unparsedBytes }.substr(0, headSize));
        const std::string surplus = ec ? std::string {} : connection->unparsedBytes.substr(headSize);
        connection->unparsedBytes.clear();
        if (response.status == kRelayServerUnreachable) {
            end(connection, "the server cannot be reached through another instance either");
            return;
        }
        if (response.status != kRelayOpened || (!surplus.empty() && !response.sendsRecords)) {
            endRelay(connection, ec ? ec.message() : "refused with status " + std::to_string(response.status));
            return;
        }
        if (response.sendsRecords)
            connection->records.emplace();
        m_handlers.opened(connection->id);
        if (!connection->closed && takeBytes(connection, surplus))
            waitForBytes(connection);
    }

    void endRelay(const std::shared_ptr<Connection>& connection, std::string reason)
    {
        if (connection->closed)
            return;
        closeSocket(connection);
        m_handlers.relayFailed(connection->id, std::move(reason));
    }

    static void prepareParser(Connection& connection)
    {
        connection.parser.emplace();
        connection.parser->eager(true);
        connection.parser->header_limit(kMaximumHeaderBytes);
        connection.parser->body_limit(kMaximumReplyBytes);
        if (!connection.expectsBody)
            connection.parser->skip(true);
    }

    // Writes as much of the request as the socket takes, and the rest as room becomes free. After a failed write the read path decides on
    // the request, because a reply may still be buffered.
    void write(const std::shared_ptr<Connection>& connection)
    {
        error_code ec;
        while (connection->bytesWritten < connection->output.size() && !ec)
            connection->bytesWritten += connection->socket.write_some(asio::buffer(connection->output) + connection->bytesWritten, ec);
        if (isWouldBlock(ec)) {
            waitForRoom(connection);
            return;
        }
        if (ec)
            connection->streamEnd.recordWriteError(ec);
        connection->writing = ec.failed();
        connection->output = {};
    }

    void waitForRoom(const std::shared_ptr<Connection>& connection)
    {
        connection->socket.async_wait(Tcp::socket::wait_write, [self = shared_from_this(), connection](const error_code& ec) {
            if (ec || connection->closed)
                return;
            if (self->read(connection) == ReadResult::NothingArrived)
                self->write(connection);
            else if (!connection->closed)
                self->waitForRoom(connection);
        });
    }

    void waitForBytes(const std::shared_ptr<Connection>& connection)
    {
        if (connection->waitingForBytes)
            return;
        connection->waitingForBytes = true;
        connection->socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), connection](const error_code& ec) {
            connection->waitingForBytes = false;
            if (!ec && !connection->closed)
                self->read(connection);
        });
    }

    // Reads once what has arrived. The connection may be closed afterwards.
    ReadResult read(const std::shared_ptr<Connection>& connection)
    {
        error_code ec;
        const std::size_t size = connection->socket.read_some(asio::buffer(m_readBuffer), ec);
        if (isWouldBlock(ec)) {
            waitForBytes(connection);
            return ReadResult::NothingArrived;
        }
        if (ec)
            handleEndOfStream(connection, ec);
        else if (takeBytes(connection, { m_readBuffer.data(), size })) {
            waitForBytes(connection);
            limitBufferedBytes();
        }
        return ReadResult::BytesOrEnd;
    }

    void handleEndOfStream(const std::shared_ptr<Connection>& connection, const error_code& readError)
    {
        const error_code cause = connection->streamEnd.causeOf(readError);
        // The end of a relayed connection says nothing of the server: it may be that of the relay's process.
        if (cause == asio::error::eof && connection->isRelayed)
            end(connection, "the relay closed the connection");
        else if (cause == asio::error::eof)
            handleServerClosed(connection);
        else if (connection->streamEnd.hasWriteError())
            end(connection, "sending the request failed: " + cause.message());
        else
            end(connection, cause.message());
    }

    // Returns true if reading from the connection continues.
    bool takeBytes(const std::shared_ptr<Connection>& connection, std::string_view bytes)
    {
        const std::size_t sizeBefore = connection->unparsedBytes.size();
        if (!connection->records) {
            connection->unparsedBytes += bytes;
        } else if (!connection->records->read(bytes, connection->unparsedBytes)) {
            end(connection, "the relay sent a malformed record");
            return false;
        }
        const std::size_t size = connection->unparsedBytes.size() - sizeBefore;
        if (size > 0 && !connection->busy) {
            end(connection, "server sent data without a pending request");
            return false;
        }
        setBufferedBytes(*connection, connection->bufferedBytes + size);
        if (size > 0 && !parse(connection))
            return false;
        if (!connection->records)
            return true;
        if (connection->records->hasServerClosed()) {
            handleServerClosed(connection);
            return false;
        }
        if (connection->records->takesNoMoreRequests() && !connection->busy) {
            end(connection, "the relay sends the server no more requests");
            return false;
        }
        return true;
    }

    // Closes the connections with the largest incomplete replies until the limit is met.
    void limitBufferedBytes()
    {
        while (m_bufferedBytes > kMaximumBufferedBytes) {
            const auto largest = std::max_element(m_connections.begin(), m_connections.end(),
                [](const auto& a, const auto& b) { return a.second->bufferedBytes < b.second->bufferedBytes; });
            end(std::shared_ptr<Connection>(largest->second), "incomplete replies exceed the memory limit");
        }
    }

    void setBufferedBytes(Connection& connection, std::size_t size)
    {
        m_bufferedBytes += size;
        m_bufferedBytes -= std::exchange(connection.bufferedBytes, size);
    }

    // Returns true if reading from the connection continues.
    bool parse(const std::shared_ptr<Connection>& connection)
    {
        while (true) {
            const error_code ec = detail::parsePending(*connection->parser, connection->unparsedBytes);
            if (ec) {
                end(connection, "not an HTTP response: " + ec.message());
                return false;
            }
            if (connection->parser->is_header_done() && !isHttpStatus(connection->parser->get().result_int())) {
                end(connection, "not an HTTP response: status " + std::to_string(connection->parser->get().result_int()));
                return false;
            }
            if (!connection->parser->is_done())
                break;
            // Interim (1xx) responses precede the final reply and are skipped.
            const bool isInterim = connection->parser->get().result_int() < 200;
            if (!isInterim && complete(connection, false))
                return !connection->closed;
            if (++connection->droppedReplies > kMaximumDroppedReplies) {
                end(connection, "too many replies before the one to this request");
                return false;
            }
            prepareParser(*connection);
            setBufferedBytes(*connection, connection->unparsedBytes.size());
        }
        if (connection->unparsedBytes.size() <= kMaximumUnparsedBytes)
            return true;
        end(connection, "the header of a reply or chunk is too large");
        return false;
    }

    // The server has closed the connection in order, which completes a reply without a length.
    void handleServerClosed(const std::shared_ptr<Connection>& connection)
    {
        if (connection->busy && connection->parser->is_header_done() && connection->parser->need_eof()) {
            error_code ec;
            connection->parser->put_eof(ec);
            if (!ec && connection->parser->is_done() && complete(connection, true))
                return;
        }
        end(connection, "the server closed the connection");
    }

    // Passes on a complete reply. Returns false if it belongs to another request and was dropped.
    bool complete(const std::shared_ptr<Connection>& connection, bool ended)
    {
        http::response<http::string_body> message = connection->parser->release();
        connection->parser.reset();
        RawReply reply;
        reply.status = message.result_int();
        reply.body = std::move(message.body());
        reply.fields = detail::fieldsOf(message);
        if (!m_handlers.belongsToRequest(connection->id, reply)) {
            connection->outOfStep = true;
            return false;
        }
        // The connection cannot be reused if surplus bytes follow the reply, or if the request is not completely written: the
        // server would read the next request as the rest of this one.
        const bool closing = ended || !message.keep_alive() || !connection->unparsedBytes.empty() || connection->writing || connection->outOfStep
            || (connection->records && (connection->records->hasServerClosed() || connection->records->takesNoMoreRequests()));
        connection->busy = false;
        setBufferedBytes(*connection, 0);
        if (closing)
            closeSocket(connection);
        m_handlers.replied(connection->id, std::move(reply), closing);
        return true;
    }

    void end(const std::shared_ptr<Connection>& connection, std::string reason)
    {
        if (connection->closed)
            return;
        const bool busy = connection->busy;
        closeSocket(connection);
        if (busy)
            m_handlers.requestFailed(connection->id, std::move(reason));
        else
            m_handlers.disconnected(connection->id, std::move(reason));
    }

    void closeSocket(const std::shared_ptr<Connection>& connection)
    {
        connection->closed = true;
        setBufferedBytes(*connection, 0);
        error_code ec;
        connection->socket.close(ec);
        m_connections.erase(connection->id);
    }

    asio::io_context& m_context;
    Handlers m_handlers;
    std::vector<char> m_readBuffer;
    std::unordered_map<ConnectionId, std::shared_ptr<Connection>> m_connections;
    // Bytes of incomplete replies over all connections.
    std::size_t m_bufferedBytes = 0;
};

RawHttpClient::RawHttpClient(asio::io_context& context, Handlers handlers)
    : m_impl(std::make_shared<Impl>(context, std::move(handlers)))
{
}

RawHttpClient::~RawHttpClient() { m_impl->stop(); }
void RawHttpClient::open(ConnectionId connection, const std::string& address) { m_impl->open(connection, address); }
void RawHttpClient::openThroughRelay(ConnectionId connection, const std::string& address, const std::string& relay, std::string_view key) { m_impl->openThroughRelay(connection, address, relay, key); }
void RawHttpClient::send(ConnectionId connection, std::string text, bool expectsBody) { m_impl->send(connection, std::move(text), expectsBody); }
void RawHttpClient::close(ConnectionId connection) { m_impl->close(connection); }

} // namespace curranttrail::transport
