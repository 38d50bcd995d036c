#pragma once

#include "control/messages.h"

#include <unordered_map>

namespace curranttrail::control {

inline constexpr std::size_t kMaximumChangeRecords = 32'768;
inline constexpr std::size_t kMaximumClaims = 500'000;
inline constexpr std::size_t kMaximumClasses = 4'096;
inline constexpr std::size_t kMaximumMembers = 32;
// A document is one log entry and must fit into one message between replicas.
inline constexpr std::size_t kMaximumDocumentBytes = 2u << 20;
inline constexpr std::size_t kMaximumEvacuations = 256;
inline constexpr std::size_t kMaximumNameLength = 64;
inline constexpr std::size_t kMaximumIdLength = 128;
inline constexpr std::size_t kMaximumHolderLength = 256;
// A request id that was released this many times is not granted again, which bounds the list of holders that released it.
inline constexpr std::size_t kMaximumReleases = 8;
// A claim is refused if its request id was issued longer ago than this. A granted claim is retained for at least this time.
inline constexpr UnixMillis kClaimRetentionMillis = 600'000;
// Tolerance for entry instances whose clocks are ahead.
inline constexpr UnixMillis kMaximumClaimFutureMillis = 60'000;

// Validates the parts of a command that do not depend on the state. Returns the reason why it is invalid, or an empty string.
std::string invalidReason(const Command& command, const OwnerName& owner);

// Deterministic state machine of the control group. Every replica computes the same results from the same commands.
class StateMachine {
public:
    StateMachine() = default;
    StateMachine(const OwnerName& owner, const std::set<InstanceName>& voters);

    CommandResult apply(const Command& command);
    // Returns the recorded result of the change with this id, Invalid if the id was used for another change, or std::nullopt if
    // the id is unknown.
    std::optional<CommandResult> earlierResult(const SetClass& change) const;

    const MachineState& state() const { return m_state; }
    void restore(MachineState state);

private:
    CommandResult applyCommand(const NoOperation& command);
    CommandResult applyCommand(const SetClass& command);
    CommandResult applyCommand(const ClaimRequest& command);
    CommandResult applyCommand(const SettleClaimRequest& command);
    CommandResult applyCommand(const ChangeMembers& command);
    CommandResult applyCommand(const ConfirmMembers& command);
    CommandResult applyCommand(const SetDocument& command);
    CommandResult applyCommand(const SetEvacuation& command);
    CommandResult changeClass(const SetClass& command);
    CommandResult handleRepeatedClaim(Claim& claim, const ClaimRequest& command);
    void dropExpiredClaims();

    MachineState m_state;
    // Position of each change id, counted from the first change ever recorded.
    std::unordered_map<std::string, std::uint64_t> m_changePositions;
    // Position of the oldest retained change.
    std::uint64_t m_firstPosition = 0;
    // Request ids of the claims, ordered by the time until which they are retained.
    std::multimap<UnixMillis, std::string> m_claimExpiry;
};

} // namespace curranttrail::control
