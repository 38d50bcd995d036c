#pragma once

#include "main/cli_http.h"
#include "main/cli_settings.h"
#include "main/control_daemon.h"
#include "main/control_settings.h"
#include "tests/stand_ins/temporary_folder.h"

#include <boost/json.hpp>

#include <array>
#include <memory>
#include <string>

// A control group of three daemons on loopback, with data folders that are removed at the end.
struct ControlGroup {
    ControlGroup();
    ~ControlGroup();

    void startAll();
    void start(std::size_t n);
    void stop(std::size_t n);
    // Waits until one replica leads with a valid lease and returns its index.
    std::size_t waitForLeader() const;
    curranttrail::HttpReply send(std::size_t n, const std::string& method, const std::string& path, const std::string& body = "",
        const std::string& token = "nile-token") const;
    // Settings of the command line for this group.
    curranttrail::CliSettings cliSettings() const;

    curranttrail::stand_ins::TemporaryFolder folder;
    std::array<curranttrail::ControlSettings, 3> settings;
    std::array<std::unique_ptr<curranttrail::transport::EventSink>, 3> sinks;
    std::array<std::unique_ptr<curranttrail::ControlDaemon>, 3> daemons;
};

// The body of a change of a class with otherwise fixed targets.
std::string changeBody(double latencyMs, unsigned expectedVersion, const std::string& changeId);

boost::json::object objectOf(const curranttrail::HttpReply& reply);
