#pragma once

#include "tests/control/control_simulation.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace curranttrail::tests {

// Simulates operators that send configuration documents to random replicas, sometimes two with the same version, and resend
// each until it is acknowledged. Checks that acknowledged documents are in force and that each version has one content.
class DocumentWorkload {
public:
    explicit DocumentWorkload(ControlSimulation& simulation);

    // Sends a new document at random intervals until stop() is called.
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
    // Content of each version when it was first seen.
    std::map<std::uint64_t, std::string> m_seen;
};

} // namespace curranttrail::tests
