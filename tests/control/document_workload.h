#pragma once

#include "tests/control/control_simulation.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace curranttrail::tests {

// CommandWorkload that send configuration documents to any replica, sometimes two of one version, resend each until it is acknowledged,
// and check that what was acknowledged is in force and that a version has one content.
class DocumentWorkload {
public:
    explicit DocumentWorkload(ControlSimulation& simulation);

    // Sends a new document every so often until stop() is called.
    void start(Micros pause);
    void stop() { m_running = false; }
    // True once every document is acknowledged.
    bool settled() const;
    // Checks that a replica holds the newest acknowledged document or a newer one that was sent.
    void checkCommittedDocument(std::size_t replica);
    std::size_t acknowledged() const { return m_acknowledged; }

private:
    struct Submission {
        control::SetDocument document;
        bool acknowledged = false;
    };

    void next();
    void attempt(std::size_t number);

    ControlSimulation& m_simulation;
    bool m_running = true;
    Micros m_pause { 0 };
    std::vector<Submission> m_submissions;
    std::uint64_t m_version = 0;
    std::uint64_t m_highest = 0;
    std::size_t m_acknowledged = 0;
    std::map<std::uint64_t, std::set<std::string>> m_sent;
    // The content with which a version was seen first.
    std::map<std::uint64_t, std::string> m_seen;
};

} // namespace curranttrail::tests
