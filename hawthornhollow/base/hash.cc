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

struct StableHasher::State {
  State() : xxh(XXH3_createState()) { XXH3_64bits_reset(xxh); }
  ~State() { XXH3_freeState(xxh); }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  XXH3_state_t* xxh;
};

StableHasher::StableHasher() : state_(std::make_unique<State>()) {}

StableHasher::~StableHasher() = default;

void StableHasher::Update(std::string_view data) {
  XXH3_64bits_update(state_->xxh, data.data(), data.size());
}

uint64_t StableHasher::digest() const {
  return XXH3_64bits_digest(state_->xxh);
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
