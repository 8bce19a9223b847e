#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "absl/random/random.h"
#include "hawthornhollow/wire/wire.h"

namespace hawthornhollow {
namespace {

constexpr int kMutations = 200'000;

std::vector<fb::FrameT> Samples() {
  std::vector<fb::FrameT> frames;
  fb::HelloT hello;
  hello.name = "router-1";
  hello.incarnation = "abc";
  frames.push_back(MakeFrame(hello));
  fb::DispatchT dispatch;
  dispatch.request = "request-1";
  dispatch.body = {1, 2, 3, 4};
  dispatch.kind = fb::CallKind::Service;
  frames.push_back(MakeFrame(dispatch));
  fb::DataT data;
  data.request = "request-1";
  data.bytes.assign(300, 'x');
  frames.push_back(MakeFrame(data));
  fb::EndT end;
  end.kind = fb::EndKind::Unknown;
  end.checksum = ~uint64_t{0};
  frames.push_back(MakeFrame(end));
  fb::RefusedT refused;
  refused.reason = fb::RefusalReason::Malformed;
  frames.push_back(MakeFrame(refused));
  frames.push_back(MakeFrame(fb::PingT{}));
  return frames;
}

class FrameCodecTest : public ::testing::Test {};

TEST_F(FrameCodecTest, EachSampleEncodedAndDecodedIsEqual) {
  for (const fb::FrameT& frame : Samples()) {
    const auto decoded = DecodeFrame(EncodeFrame(frame));
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    EXPECT_EQ(EncodeFrame(*decoded), EncodeFrame(frame));
    EXPECT_EQ(decoded->body.type, frame.body.type);
  }
}

TEST_F(FrameCodecTest, FrameWithoutBodyIsDataLoss) {
  EXPECT_EQ(DecodeFrame(EncodeFrame(fb::FrameT())).status().code(),
            absl::StatusCode::kDataLoss);
  EXPECT_EQ(DecodeFrame("").status().code(), absl::StatusCode::kDataLoss);
}

TEST_F(FrameCodecTest, EnumOutOfRangeIsDataLoss) {
  fb::EndT end;
  end.kind = static_cast<fb::EndKind>(17);
  EXPECT_EQ(DecodeFrame(EncodeFrame(MakeFrame(end))).status().code(),
            absl::StatusCode::kDataLoss);
}

TEST_F(FrameCodecTest, TruncatedFrameIsDataLossOrEqual) {
  for (const fb::FrameT& frame : Samples()) {
    const std::string bytes = EncodeFrame(frame);
    for (size_t size = 0; size < bytes.size(); ++size) {
      // A copy, so that reading past its end is seen by a sanitizer.
      const std::string prefix = bytes.substr(0, size);
      const auto decoded = DecodeFrame(prefix);
      if (decoded.ok()) {
        EXPECT_EQ(EncodeFrame(*decoded), bytes);
      }
    }
  }
}

TEST_F(FrameCodecTest, MutatedFrameIsAnErrorOrEncodable) {
  std::seed_seq seed{20261204};
  absl::BitGen generator(seed);
  const std::vector<fb::FrameT> samples = Samples();
  int accepted = 0;
  for (int i = 0; i < kMutations; ++i) {
    std::string bytes = EncodeFrame(samples[i % samples.size()]);
    const int changes = absl::Uniform(generator, 1, 6);
    for (int change = 0; change < changes; ++change) {
      const size_t at = absl::Uniform<size_t>(generator, 0, bytes.size());
      bytes[at] = static_cast<char>(absl::Uniform(generator, 0, 256));
    }
    const auto decoded = DecodeFrame(bytes);
    if (decoded.ok()) {
      ++accepted;
      EXPECT_FALSE(EncodeFrame(*decoded).empty());
    } else {
      EXPECT_EQ(decoded.status().code(), absl::StatusCode::kDataLoss);
    }
  }
  EXPECT_GT(accepted, 0);
  EXPECT_LT(accepted, kMutations);
}

}  // namespace
}  // namespace hawthornhollow
