#include "cactusward/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace cactusward {
namespace {

constexpr std::size_t kMacBytes = 16;
constexpr std::string_view kHexDigits = "0123456789abcdef";

}  // namespace

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest.data());
  std::string hex;
  hex.reserve(digest.size() * 2);
  for (unsigned char byte : digest) {
    hex.push_back(kHexDigits[byte >> 4]);
    hex.push_back(kHexDigits[byte & 15]);
  }
  return hex;
}

std::string HmacTag(std::string_view key, std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
       digest.data(), &length);
  return std::string(reinterpret_cast<const char*>(digest.data()), kMacBytes);
}

bool EqualConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size())
    return false;
  return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::size_t RendezvousOwner(std::string_view key,
                            const std::vector<std::string>& names) {
  const std::uint64_t key_hash = Hash64(key);
  std::size_t best = 0;
  std::uint64_t best_score = 0;
  for (std::size_t i = 0; i < names.size(); ++i) {
    const std::uint64_t score = Hash64(names[i], key_hash);
    if (i == 0 || score > best_score) {
      best = i;
      best_score = score;
    }
  }
  return best;
}

}  // namespace cactusward
