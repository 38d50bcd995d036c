#include "membership/messages.h"

namespace curranttrail::membership {

MemberState stateOf(const MemberRecord& record)
{
    if (record.leaving)
        return record.health == Health::Dead ? MemberState::Left : MemberState::Leaving;
    switch (record.health) {
    case Health::Joining:
        return MemberState::Joining;
    case Health::Alive:
        return MemberState::Alive;
    case Health::Suspect:
        return MemberState::Suspect;
    case Health::Dead:
        return MemberState::Dead;
    }
    return MemberState::Dead;
}

} // namespace curranttrail::membership
