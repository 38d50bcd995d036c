#include "policy/account_quota.h"

namespace curranttrail::policy {

// FNV-1a, because the value must be the same in every process.
AccountId accountIdOf(std::string_view name)
{
    std::uint64_t hash = 0xcbf29ce484222325;
    for (const char c : name)
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
    return { hash };
}

} // namespace curranttrail::policy
