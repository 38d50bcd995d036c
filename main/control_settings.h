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

// An account with a bearer token: an operator of the administration API or a caller of an entry instance.
struct OperatorAccount {
    // Name of the account in the audit log.
    std::string name;
    OwnerName owner;
    // SHA-256 of the bearer token, in lower-case hexadecimal.
    std::string tokenDigest;
};

// An instance that records usage, with the file of its public key.
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

// Settings of the usage ledger. Without a key file no ledger is kept.
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
    // Listening address for entry instances and other owners' control instances.
    transport::Endpoint frames { "127.0.0.1", 0 };
    std::string clusterKeyFile;
    // Listening address for the replicas of this group only; no other process has its key.
    transport::Endpoint group { "127.0.0.1", 0 };
    std::string groupKeyFile;
    std::vector<GroupPeer> peers;
    std::vector<PartnerInstance> partners;
    std::vector<OperatorAccount> operators;
    UsageSettings usage;
    // Allows an empty replica to form the group together with all its peers.
    bool bootstrap = false;
    Severity logThreshold = Severity::Information;
    Micros stopTimeout { 10'000'000 };
};

// Reads all settings; errors are collected in the file.
ControlSettings readControlSettings(const SettingsFile& file);

} // namespace curranttrail
