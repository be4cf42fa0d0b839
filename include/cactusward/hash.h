// Hash functions for rendezvous hashing, request fingerprints and key digests.
#ifndef CACTUSWARD_HASH_H_
#define CACTUSWARD_HASH_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusward {

// 64-bit non-cryptographic hash of `bytes`. Thread-safe.
std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

// SHA-256 of `bytes` in lower-case hexadecimal. Thread-safe.
std::string Sha256Hex(std::string_view bytes);

// First 16 bytes of HMAC-SHA-256 of `bytes` under `key`. Thread-safe.
std::string HmacTag(std::string_view key, std::string_view bytes);

// Compares in time that depends only on the lengths. Thread-safe.
bool EqualConstantTime(std::string_view a, std::string_view b);

// Returns the index in `names` of the owner of `key` by rendezvous hashing:
// removing a name moves only the keys that it owned.
// Precondition: `names` is not empty. Thread-safe.
std::size_t RendezvousOwner(std::string_view key,
                            const std::vector<std::string>& names);

}  // namespace cactusward

#endif  // CACTUSWARD_HASH_H_
