#include "hawthornhollow/base/base.h"

#include <string>

#include "gtest/gtest.h"

namespace hawthornhollow {
namespace {

TEST(ErrorTest, ErrorAt_WithPeer_NamesStepAndPeer) {
  absl::Status status = ErrorAt(absl::StatusCode::kUnavailable, "log.append",
                                "127.0.0.1:7001", "refused");
  EXPECT_EQ(status.message(), "step=log.append peer=127.0.0.1:7001: refused");
  EXPECT_EQ(status.code(), absl::StatusCode::kUnavailable);
}

TEST(ErrorTest, Annotate_OfAnError_KeepsItsCodeAndCause) {
  absl::Status inner = ErrorAt(absl::StatusCode::kNotFound, "read", "", "none");
  absl::Status outer = Annotate(inner, "open", "disk");
  EXPECT_EQ(outer.code(), absl::StatusCode::kNotFound);
  EXPECT_EQ(outer.message(), "step=open peer=disk: step=read: none");
  EXPECT_TRUE(Annotate(absl::OkStatus(), "open", "disk").ok());
}

TEST(HashTest, StableHasher_OverPieces_EqualsStableHash) {
  StableHasher hasher;
  hasher.Update("route ");
  hasher.Update("");
  hasher.Update("permit");
  EXPECT_EQ(hasher.digest(), StableHash("route permit"));
}

TEST(HashTest, Sha256Hex_OfKnownText_MatchesThePublishedDigest) {
  EXPECT_EQ(Sha256Hex("abc"),
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(HashTest, RandomId_TwoCalls_Differ) {
  EXPECT_NE(RandomId(), RandomId());
  EXPECT_EQ(RandomId().size(), 16u);
}

}  // namespace
}  // namespace hawthornhollow
