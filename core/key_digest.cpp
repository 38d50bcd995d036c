#include "core/key_digest.h"

#include <openssl/sha.h>

namespace curranttrail {

KeyDigest::KeyDigest(std::string_view key)
{
    static_assert(std::tuple_size_v<decltype(m_bytes)> == SHA256_DIGEST_LENGTH);
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), m_bytes.data());
}

} // namespace curranttrail
