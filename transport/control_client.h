#pragma once

#include "control/messages.h"
#include "core/class_target.h"
#include "core/ids.h"
#include "core/units.h"
#include "transport/control_protocol.h"
#include "transport/frame_link.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace curranttrail::transport {

struct ControlEndpoint {
    InstanceName name;
    // Numeric IP address.
    std::string address;
    std::uint16_t port = 0;
};

// Outcome of submitting a command. Only Answered carries a result of the control group.
enum class SubmitStatus {
    Answered,
    // No replica proposed the command.
    NotProposed,
    // A replica may have proposed the command. Submitting the same command again is safe.
    Unknown,
};

struct SubmitResult {
    SubmitStatus status = SubmitStatus::NotProposed;
    control::CommandResult result;
    std::string message;
};

using SubmitCallback = std::function<void(SubmitResult result)>;
// Called on the loop's thread for each configuration answer, including those without newer versions. `from` is the instance
// that answered.
using ConfigurationCallback = std::function<void(const InstanceName& from, const ConfigurationAnswer& answer)>;

struct ControlClientOptions {
    LinkOptions link;
    // Control instances of each owner.
    std::map<OwnerName, std::vector<ControlEndpoint>> instances;
    // One instance of each owner is polled per interval, in round-robin order. The cost does not depend on the number of
    // changes, and an isolated instance delays updates by one interval only.
    std::chrono::milliseconds pollInterval { 250 };
    std::chrono::milliseconds pollTimeout { 1000 };
    // Versions in force are reported to every control instance at this interval and immediately when they change.
    std::chrono::milliseconds reportInterval { 1000 };
    // A command that is not answered within this time is retried on the next control instance.
    std::chrono::milliseconds attemptTimeout { 500 };
    std::chrono::milliseconds retryDelay { 50 };
};

// An entry instance's client for the control groups of all owners. All functions are thread-safe.
class ControlClient {
public:
    ControlClient(EventLoop& loop, ControlClientOptions options, ConfigurationCallback onConfiguration);
    // Completes pending submissions. No callback is called afterwards.
    ~ControlClient();
    ControlClient(const ControlClient&) = delete;
    ControlClient& operator=(const ControlClient&) = delete;

    // Sets the versions that this instance has in force. They are sent with each poll and reported to the control instances.
    void setReportedVersions(ReportVersions report);

    // Submits a command to the leader of the owner's control group. Follows leader hints and retries on other replicas
    // until a result arrives or the timeout expires. The callback is called exactly once, on the loop's thread.
    void submit(const OwnerName& owner, SubmitCommand command, Micros timeout, SubmitCallback callback);

    // Fetches the configuration of another instance, usually an entry instance of the same data centre.
    // The answer, if any, is passed to the configuration callback.
    void fetchFrom(const ControlEndpoint& endpoint);

    // Sends an opaque request to the named control instance of the owner, or to any connected one if the name is empty.
    // The callback receives the reply. Used for usage records.
    void requestFrom(const OwnerName& owner, const InstanceName& instance, MessageType type, std::string body, Micros timeout,
        RequestCallback callback);

    // Returns the control instances of an owner that are currently connected.
    std::vector<InstanceName> connectedInstances(const OwnerName& owner) const;

    class Implementation;

private:
    EventLoop& m_loop;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace curranttrail::transport
