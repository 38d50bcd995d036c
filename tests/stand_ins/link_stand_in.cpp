#include "tests/stand_ins/link_stand_in.h"

#include "core/enum_names.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <fmt/format.h>

#include <fstream>
#include <list>
#include <map>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace curranttrail::stand_ins {

namespace asio = boost::asio;
using asio::use_awaitable;
using asio::ip::tcp;

namespace {

    constexpr std::chrono::milliseconds kStateInterval { 20 };
    constexpr std::chrono::milliseconds kForwardDelay { 80 };

    constexpr std::array<EnumName<LinkMode>, 6> kModeNames { {
        { LinkMode::Pass, "pass" },
        { LinkMode::Hold, "hold" },
        { LinkMode::Drop, "drop" },
        { LinkMode::Cut, "cut" },
        { LinkMode::Delay, "delay" },
        { LinkMode::HoldReplies, "hold_replies" },
    } };

    std::map<std::string, LinkMode> readState(const std::string& path)
    {
        std::map<std::string, LinkMode> modes;
        std::ifstream file(path);
        std::string name;
        std::string mode;
        while (file >> name >> mode)
            modes[name] = valueOf(kModeNames, mode).value_or(LinkMode::Pass);
        return modes;
    }

    tcp::endpoint endpointOf(const transport::Endpoint& endpoint)
    {
        return { asio::ip::make_address(endpoint.address), endpoint.port };
    }

    struct ConnectionPair {
        explicit ConnectionPair(asio::io_context& context)
            : clientSide(context)
            , serverSide(context)
        {
        }

        void close()
        {
            boost::system::error_code ec;
            clientSide.close(ec);
            serverSide.close(ec);
        }

        tcp::socket clientSide;
        tcp::socket serverSide;
    };

    struct Link {
        Link(asio::io_context& context, LinkSettings linkSettings)
            : settings(std::move(linkSettings))
            , acceptor(context, endpointOf(settings.listen))
        {
        }

        LinkSettings settings;
        tcp::acceptor acceptor;
        LinkMode mode = LinkMode::Pass;
        std::list<std::weak_ptr<ConnectionPair>> pairs;
    };

} // namespace

struct LinkStandIn::Implementation {
    explicit Implementation(const LinkStandInSettings& standInSettings)
        : settings(standInSettings)
        , timer(context)
    {
        for (const LinkSettings& link : settings.links)
            links.push_back(std::make_unique<Link>(context, link));
        applyState();
        for (const std::unique_ptr<Link>& link : links)
            asio::co_spawn(context, accept(*link), asio::detached);
        thread = std::thread([this] { context.run(); });
    }

    ~Implementation()
    {
        context.stop();
        thread.join();
    }

    void applyState()
    {
        const std::map<std::string, LinkMode> modes = readState(settings.stateFile);
        for (const std::unique_ptr<Link>& link : links) {
            const auto it = modes.find(link->settings.name);
            link->mode = it == modes.end() ? LinkMode::Pass : it->second;
            std::erase_if(link->pairs, [](const std::weak_ptr<ConnectionPair>& pair) { return pair.expired(); });
            for (const std::weak_ptr<ConnectionPair>& weak : link->pairs) {
                const std::shared_ptr<ConnectionPair> pair = weak.lock();
                if (pair && link->mode == LinkMode::Cut)
                    pair->close();
            }
        }
        timer.expires_after(kStateInterval);
        timer.async_wait([this](boost::system::error_code ec) {
            if (!ec)
                applyState();
        });
    }

    asio::awaitable<void> accept(Link& link)
    {
        while (true) {
            const std::shared_ptr<ConnectionPair> pair = std::make_shared<ConnectionPair>(context);
            co_await link.acceptor.async_accept(pair->clientSide, use_awaitable);
            if (link.mode == LinkMode::Cut)
                continue;
            link.pairs.push_back(pair);
            asio::co_spawn(context, open(link, pair), asio::detached);
        }
    }

    asio::awaitable<void> open(Link& link, std::shared_ptr<ConnectionPair> pair)
    {
        try {
            co_await pair->serverSide.async_connect(endpointOf(link.settings.to), use_awaitable);
            boost::system::error_code ec;
            pair->clientSide.set_option(tcp::no_delay(true), ec);
            pair->serverSide.set_option(tcp::no_delay(true), ec);
            asio::co_spawn(context, forwardBytes(link, pair, pair->clientSide, pair->serverSide), asio::detached);
            asio::co_spawn(context, forwardBytes(link, pair, pair->serverSide, pair->clientSide), asio::detached);
        } catch (const std::exception&) {
            pair->close();
        }
    }

    asio::awaitable<void> forwardBytes(Link& link, std::shared_ptr<ConnectionPair> pair, tcp::socket& from, tcp::socket& to)
    {
        try {
            std::string buffer(65'536, '\0');
            asio::steady_timer pause(context);
            while (true) {
                const std::size_t n = co_await from.async_read_some(asio::buffer(buffer), use_awaitable);
                if (link.mode == LinkMode::Delay) {
                    pause.expires_after(kForwardDelay);
                    co_await pause.async_wait(use_awaitable);
                }
                while (link.mode == LinkMode::Hold || (link.mode == LinkMode::HoldReplies && &from == &pair->serverSide)) {
                    pause.expires_after(kStateInterval);
                    co_await pause.async_wait(use_awaitable);
                }
                if (link.mode != LinkMode::Drop && link.mode != LinkMode::Cut)
                    co_await asio::async_write(to, asio::buffer(buffer.data(), n), use_awaitable);
            }
        } catch (const std::exception&) {
            pair->close();
        }
    }

    LinkStandInSettings settings;
    asio::io_context context { 1 };
    asio::steady_timer timer;
    std::vector<std::unique_ptr<Link>> links;
    std::thread thread;
};

LinkStandInSettings readLinkSettings(const SettingsFile& file)
{
    const SettingsTable root = file.root();
    LinkStandInSettings settings;
    settings.stateFile = root.text("state_file");
    for (const SettingsTable& table : root.tables("links"))
        settings.links.push_back({ table.text("name"), table.endpoint("listen"), table.endpoint("to") });
    return settings;
}

LinkStandIn::LinkStandIn(const LinkStandInSettings& settings)
    : m_implementation(std::make_unique<Implementation>(settings))
{
}

LinkStandIn::~LinkStandIn() = default;

} // namespace curranttrail::stand_ins
