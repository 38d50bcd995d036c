#pragma once

#include "main/configuration_selector.h"
#include "main/entry_settings.h"
#include "main/reducer_thread.h"
#include "query/messages.h"
#include "transport/control_client.h"
#include "transport/event_sink.h"
#include "transport/frame_link.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace curranttrail {

// An entry instance's links to the control instances of all owners and to other entry instances: configurations in both
// directions, claims and their settlement, and usage records.
class EntryControl {
public:
    // Called on the reducer thread with the class table to apply.
    using ConfigurationCallback = std::function<void(std::shared_ptr<const ClassTable> classes, TimePoint now)>;
    // Called with each answer of a control leader that holds a valid lease.
    using ConfirmationCallback = std::function<void(const OwnerName& owner, TimePoint now)>;
    using ClaimCallback = std::function<void(query::ClaimResolved)>;

    // Starts to listen for other instances. Throws std::runtime_error if the key or the address cannot be used.
    EntryControl(const EntrySettings& settings, std::uint64_t incarnation, transport::EventSink& sink, ReducerThread& reducers, ConfigurationCallback onConfiguration, ConfirmationCallback onConfirmation);
    ~EntryControl();
    EntryControl(const EntryControl&) = delete;
    EntryControl& operator=(const EntryControl&) = delete;

    // Starts to fetch configurations.
    void start();
    // Closes all links. Open claims resolve as unavailable. The reducer thread must have stopped.
    void stop();

    std::uint16_t framesPort() const { return m_server->port(); }
    const std::string& clusterKey() const { return m_linkOptions.clusterKey; }

    // Sets whether this instance tells its peers that it is serving, so that they may start with its configuration.
    void setServing(bool serving) { m_serving = serving; }
    // True if a configuration of the owner has been accepted. Must be called on the reducer thread.
    bool hasAccepted(const OwnerName& owner) const { return m_selector.hasAccepted(owner); }
    transport::VersionTable versions() const { return m_selector.versions(); }

    // Fetches the configuration of another instance.
    void fetchFrom(const InstanceName& name, const transport::Endpoint& address);

    // The callback runs once, on any thread.
    void claim(const query::RequestClaim& request, ClaimCallback callback);
    // Retries the settlement until it is recorded or the claim has expired.
    void settle(const query::SettleClaim& settlement);
    std::size_t openSettlements() const { return m_openSettlements; }

    // Sends an encoded batch of usage records to a control instance of the owner; the answer may be empty.
    void shipUsage(const OwnerName& owner, std::string batch, std::function<void(std::string)> callback);

private:
    struct Settlement;

    transport::ControlClientOptions clientOptions(const EntrySettings& settings) const;
    void handleConfiguration(const transport::ConfigurationAnswer& answer);
    void applyConfiguration(const std::shared_ptr<const ClassTable>& classes, TimePoint now);
    void handlePeerRequest(const transport::IncomingFrame& frame, const transport::FrameResponder& respond);
    std::string claimHolder(QueryId query) const;
    void submitSettlement(const std::shared_ptr<Settlement>& settlement);
    void handleSettlementResult(const std::shared_ptr<Settlement>& settlement, const transport::SubmitResult& result);

    const InstanceName m_name;
    const OwnerName m_owner;
    const DataCentreName m_dataCentre;
    const std::uint64_t m_incarnation;
    transport::EventSink& m_sink;
    ReducerThread& m_reducers;
    ConfigurationCallback m_onConfiguration;
    ConfirmationCallback m_onConfirmation;
    transport::LinkOptions m_linkOptions;
    // Only used on the reducer thread.
    ConfigurationSelector m_selector;
    std::atomic<bool> m_serving { false };
    std::atomic<bool> m_stopped { false };
    std::atomic<std::size_t> m_openSettlements { 0 };
    std::mutex m_mutex;
    std::shared_ptr<const ClassTable> m_activeClasses = std::make_shared<const ClassTable>();
    transport::ControlClientOptions m_clientOptions;
    transport::EventLoop m_loop;
    std::unique_ptr<transport::FrameServer> m_server;
    std::unique_ptr<transport::ControlClient> m_client;
};

} // namespace curranttrail
