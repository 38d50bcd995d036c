#pragma once

#include "control/messages.h"

#include <unordered_map>

namespace curranttrail::control {

inline constexpr std::size_t kMaximumChangeRecords = 32'768;
inline constexpr std::size_t kMaximumClaims = 500'000;
inline constexpr std::size_t kMaximumClasses = 4'096;
inline constexpr std::size_t kMaximumMembers = 32;
// A document is one entry of the log and must fit into one message between replicas.
inline constexpr std::size_t kMaximumDocumentBytes = 2u << 20;
inline constexpr std::size_t kMaximumNameLength = 64;
inline constexpr std::size_t kMaximumIdLength = 128;
inline constexpr std::size_t kMaximumHolderLength = 256;
// Beyond this number of settlements as NotRun an id is no longer granted, which bounds the record of its holders.
inline constexpr std::size_t kMaximumReleases = 8;
inline constexpr UnixMillis kClaimRetentionMillis = 600'000;
inline constexpr UnixMillis kMaximumClaimFutureMillis = 60'000;

// Checks the parts of a command that do not depend on the state. Returns the reason why it is invalid, empty if it is valid.
std::string invalidReason(const Command& command, const OwnerName& owner);

// Applies committed commands in order. Every replica computes the same results from the same commands.
class StateMachine {
public:
    StateMachine() = default;
    StateMachine(const OwnerName& owner, const std::set<InstanceName>& voters);

    CommandResult apply(const Command& command);
    // The result that a change with this id got, Invalid if the id was used for another change, nothing if it is unknown.
    std::optional<CommandResult> earlierResult(const SetClass& change) const;

    const MachineState& state() const { return m_state; }
    void restore(MachineState state);

private:
    CommandResult applyCommand(const NoOperation& command);
    CommandResult applyCommand(const SetClass& command);
    CommandResult applyCommand(const ClaimRequest& command);
    CommandResult applyCommand(const SettleClaimRequest& command);
    CommandResult applyCommand(const ChangeMembers& command);
    CommandResult applyCommand(const SetDocument& command);
    CommandResult changeClass(const SetClass& command);
    CommandResult handleRepeatedClaim(Claim& claim, const ClaimRequest& command);
    void dropExpiredClaims();

    MachineState m_state;
    // The position of a change id, counted from the first change ever recorded.
    std::unordered_map<std::string, std::uint64_t> m_changePositions;
    std::uint64_t m_firstPosition = 0;
    // The ids of claims by the time until which they are retained.
    std::multimap<UnixMillis, std::string> m_claimExpiry;
};

} // namespace curranttrail::control
