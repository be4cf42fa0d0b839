#include "cactusward/hash.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/params.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace cactusward {
namespace {

constexpr std::size_t kMacBytes = 16;
constexpr std::string_view kHexDigits = "0123456789abcdef";

// HMAC-SHA256 with the last key kept ready. Not thread-safe.
class hmac_context {
 public:
  hmac_context()
      : mac_(EVP_MAC_fetch(nullptr, "HMAC", nullptr), EVP_MAC_free),
        context_(mac_ ? EVP_MAC_CTX_new(mac_.get()) : nullptr,
                 EVP_MAC_CTX_free) {}

  // @return false if the library fails.
  bool Compute(std::string_view key,
               std::string_view bytes,
               std::array<unsigned char, EVP_MAX_MD_SIZE>* digest) {
    if (!context_ || !(key_ && *key_ == key ? Restart() : SetKey(key)))
      return false;
    std::size_t length = 0;
    return EVP_MAC_update(context_.get(),
                          reinterpret_cast<const unsigned char*>(bytes.data()),
                          bytes.size()) == 1 &&
           EVP_MAC_final(context_.get(), digest->data(), &length,
                         digest->size()) == 1;
  }

 private:
  bool Restart() {
    return EVP_MAC_init(context_.get(), nullptr, 0, nullptr) == 1;
  }
  bool SetKey(std::string_view key) {
    std::string digest_name = "SHA256";
    const OSSL_PARAM parameters[] = {
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST,
                                         digest_name.data(), 0),
        OSSL_PARAM_construct_end()};
    key_.reset();
    if (EVP_MAC_init(context_.get(),
                     reinterpret_cast<const unsigned char*>(key.data()),
                     key.size(), parameters) != 1)
      return false;
    key_ = std::string(key);
    return true;
  }

  std::unique_ptr<EVP_MAC, decltype(&EVP_MAC_free)> mac_;
  std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)> context_;
  std::optional<std::string> key_;
};

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
  // Preparing a key takes longer than a tag of a datagram.
  thread_local hmac_context context;
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
  unsigned int length = 0;
  if (!context.Compute(key, bytes, &digest))
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
