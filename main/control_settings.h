#pragma once

#include "core/event_log.h"
#include "core/ids.h"
#include "main/settings.h"
#include "transport/http_message.h"

#include <string>
#include <vector>

namespace curranttrail {

// Another replica of this instance's control group.
struct GroupPeer {
    InstanceName name;
    transport::Endpoint address;
};

// A control instance of another owner.
struct PartnerInstance {
    InstanceName name;
    OwnerName owner;
    transport::Endpoint address;
};

// Who may use the administration API.
struct OperatorAccount {
    // Written to the audit log.
    std::string name;
    OwnerName owner;
    // SHA-256 of the bearer token, in lower-case hexadecimal.
    std::string tokenDigest;
};

// A process that records use, with the file of its public key.
struct UsageInstance {
    InstanceName name;
    std::string keyFile;
};

// Another control instance that keeps a usage ledger, of either owner.
struct UsagePeer {
    InstanceName name;
    OwnerName owner;
    std::string keyFile;
};

// The account of use. Without a key file no ledger is kept.
struct UsageSettings {
    std::string keyFile;
    std::vector<UsageInstance> instances;
    std::vector<UsagePeer> ledgers;
};

struct ControlSettings {
    InstanceName name;
    OwnerName owner;
    DataCentreName dataCentre;
    std::string dataFolder;
    transport::Endpoint http { "127.0.0.1", 0 };
    // For entry instances and for other owners' control instances.
    transport::Endpoint frames { "127.0.0.1", 0 };
    std::string clusterKeyFile;
    // For the replicas of this group only; the key is known to no other process.
    transport::Endpoint group { "127.0.0.1", 0 };
    std::string groupKeyFile;
    std::vector<GroupPeer> peers;
    std::vector<PartnerInstance> partners;
    std::vector<OperatorAccount> operators;
    UsageSettings usage;
    // Permits an empty replica to found the group together with all its peers.
    bool bootstrap = false;
    Severity logThreshold = Severity::Information;
    Micros stopTimeout { 10'000'000 };
};

// Reads all settings; the faults of the file say what was wrong.
ControlSettings readControlSettings(const SettingsFile& file);

} // namespace curranttrail
