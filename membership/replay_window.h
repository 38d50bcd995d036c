#pragma once

#include "core/ids.h"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <map>

namespace curranttrail::membership {

// Replay protection: accepts each pair of incarnation and sequence number of a sender once. Rejects sequence numbers that are
// behind the window and incarnations lower than the highest one seen.
class ReplayWindow {
public:
    // Width of the window in sequence numbers. An instance sends about 10 datagrams per second, so this covers about 25 s of
    // delay.
    static constexpr std::size_t kWidth = 256;
    static constexpr std::size_t kMaximumSenders = 16'384;

    // Returns true if the datagram is new and records it.
    bool accept(const InstanceName& sender, std::uint64_t incarnation, std::uint64_t sequence);
    std::size_t senders() const { return m_senders.size(); }

private:
    struct Sender {
        std::uint64_t incarnation = 0;
        std::uint64_t highest = 0;
        std::uint64_t lastUse = 0;
        std::bitset<kWidth> seen;
    };

    void evictOldest();

    std::map<InstanceName, Sender> m_senders;
    std::uint64_t m_uses = 0;
};

} // namespace curranttrail::membership
