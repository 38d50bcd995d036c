#pragma once

#include "main/entry_settings.h"
#include "main/reducer_thread.h"
#include "membership/codec.h"
#include "membership/membership_reducer.h"
#include "transport/control_protocol.h"
#include "transport/datagram_socket.h"
#include "transport/event_sink.h"
#include "transport/io_threads.h"

#include <functional>
#include <string>
#include <vector>

namespace curranttrail {

// Runs the membership reducer of an entry instance on the reducer thread, with its UDP socket.
class EntryMembership {
public:
    struct Callbacks {
        // Another instance holds a higher configuration version.
        std::function<void(const InstanceName& holder, const transport::Endpoint& address)> higherVersion;
        // Another instance announced that a backend server is leaving.
        std::function<void(const std::string& server)> serverLeaving;
        // Another instance knows more about queries that end servers.
        std::function<void(std::vector<policy::CrashRecord> records, TimePoint now)> crashRecords;
        // The instances that share the connection limits changed.
        std::function<void(std::vector<InstanceName> holders, TimePoint now)> holdersChanged;
    };

    EntryMembership(const EntrySettings& settings, std::uint64_t incarnation, const std::string& clusterKey, std::uint16_t port, transport::IoThreads& threads,
        transport::EventSink& sink, ReducerThread& reducers, Callbacks callbacks);

    // The functions below must be called on the reducer thread.
    void setVersions(const transport::VersionTable& versions, TimePoint now);
    void announceLeaving(const std::string& server, TimePoint now);
    void announceCrashes(std::vector<policy::CrashRecord> records, TimePoint now);
    void leave(TimePoint now);
    // Returns the other entry instances of the same data centre that are alive, with their frame addresses.
    std::vector<std::pair<InstanceName, transport::Endpoint>> dataCentrePeers() const;

private:
    static membership::MembershipOptions optionsOf(const EntrySettings& settings, std::uint64_t incarnation, std::uint16_t port);
    void receive(const transport::Endpoint& from, std::string_view datagram);
    void handle(const membership::Event& event, TimePoint now);
    void execute(const membership::Effect& effect, TimePoint now);
    void checkHolders(TimePoint now);

    const DataCentreName m_dataCentre;
    transport::EventSink& m_sink;
    ReducerThread& m_reducers;
    Callbacks m_callbacks;
    membership::Codec m_codec;
    membership::MembershipReducer m_reducer;
    std::vector<InstanceName> m_holders;
    TimePoint m_lastHoldersCheck;
    transport::DatagramSocket m_link;
};

} // namespace curranttrail
