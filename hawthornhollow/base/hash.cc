#include <openssl/evp.h>
#include <xxhash.h>

#include "absl/random/random.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow {

uint64_t StableHash(std::string_view data, uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string Sha256Hex(std::string_view data) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_Digest(data.data(), data.size(), digest, &size, EVP_sha256(), nullptr);
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(digest), size));
}

std::string RandomId() {
  thread_local absl::BitGen generator;
  return absl::StrCat(
      absl::Hex(absl::Uniform<uint64_t>(generator), absl::kZeroPad16));
}

}  // namespace hawthornhollow
