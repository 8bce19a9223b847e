#include "hawthornhollow/relay/load_codec_internal.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <limits>
#include <random>

#include "hawthornhollow/relay/peer_messages_generated.h"
#include "hawthornhollow/totals/message_bytes.h"

namespace hawthornhollow {
namespace {

constexpr char kPeer[] = "10.0.0.7:9";

class LoadCodecTest : public testing::Test {
 protected:
  const PlacementRequest request_{.id = "7b65161d@entry-1.5",
                                  .service = "engine",
                                  .prompt = {{"shared", 13'300}, {"own", 372}},
                                  .prompt_tokens = 13'672,
                                  .max_output_tokens = 256,
                                  .urgency = 4,
                                  .latency_target = absl::Milliseconds(500),
                                  .time_left = absl::Seconds(8)};
  const std::vector<PlacementProgress> progress_ = {
      {.server = "i-1",
       .request = "a",
       .event = PlacementEvent::kFirstToken,
       .took = absl::Milliseconds(90)},
      {.server = "i-2",
       .request = "b",
       .event = PlacementEvent::kEnded,
       .took = absl::Seconds(1)}};
};

TEST_F(LoadCodecTest, Question_IsDecodedAsItWas) {
  for (const absl::Duration place_within :
       {PlacementQuestion::kBidOnly, absl::ZeroDuration(),
        absl::Milliseconds(30), absl::InfiniteDuration()}) {
    const PlacementQuestion question{.router = "entry-1",
                                     .request = request_,
                                     .servers = {"i-1", "i-2"},
                                     .place_within = place_within,
                                     .progress = progress_};
    const auto decoded = DecodeQuestion(EncodeQuestion(question), kPeer);
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    EXPECT_EQ(*decoded, question);
  }
}

TEST_F(LoadCodecTest, Reply_IsDecodedAsItWas) {
  const PlacementReply reply{.placed = "i-2",
                             .bids = {{.server = "i-1"},
                                      {.server = "i-2",
                                       .has_room = true,
                                       .first_token = absl::Milliseconds(61),
                                       .delay_to_others = absl::Milliseconds(7),
                                       .uncached_tokens = 372,
                                       .requests = 12,
                                       .queued_tokens = 4'000}}};
  const auto decoded = DecodePlacementReply(EncodePlacementReply(reply), kPeer);
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  EXPECT_EQ(*decoded, reply);
}

TEST_F(LoadCodecTest, Report_IsDecodedAsItWas) {
  const LoadReport report{.router = "entry-1",
                          .notices = {{.server = "i-3", .request = request_}},
                          .progress = progress_};
  const auto decoded = DecodeReport(EncodeReport(report), kPeer);
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  EXPECT_EQ(*decoded, report);
}

// A caller names its tokens, and a bid without room may have no end: neither
// must make a router that answers look like one that does not.
TEST_F(LoadCodecTest, NumbersBeyondTheRange_AreCutAndNotRejected) {
  PlacementRequest request = request_;
  request.prompt_tokens = std::numeric_limits<int64_t>::max();
  request.max_output_tokens = -1;
  request.prompt[0].tokens = std::numeric_limits<int64_t>::max();
  request.time_left = absl::InfiniteDuration();
  const auto question = DecodeQuestion(
      EncodeQuestion({.router = "entry-1", .request = request}), kPeer);
  EXPECT_TRUE(question.ok()) << question.status();
  const auto reply = DecodePlacementReply(
      EncodePlacementReply({.bids = {{.first_token = absl::InfiniteDuration(),
                                      .queued_tokens = -3}}}),
      kPeer);
  EXPECT_TRUE(reply.ok()) << reply.status();
}

TEST_F(LoadCodecTest, NegativeNumber_IsRejectedWithItsField) {
  fb::PlacementWantedT wanted;
  wanted.needs = std::make_unique<fb::PlacementNeedsT>();
  wanted.needs->prompt_tokens = -1;
  const auto question =
      DecodeQuestion(EncodeMessage<fb::PlacementWanted>(wanted), kPeer);
  EXPECT_EQ(question.status().code(), absl::StatusCode::kInvalidArgument);
  EXPECT_THAT(question.status().message(),
              testing::AllOf(testing::HasSubstr("prompt_tokens"),
                             testing::HasSubstr(kPeer)));
}

TEST_F(LoadCodecTest, MissingNeeds_IsRejected) {
  const auto question = DecodeQuestion(
      EncodeMessage<fb::PlacementWanted>(fb::PlacementWantedT()), kPeer);
  EXPECT_THAT(question.status().message(),
              testing::HasSubstr("needs: is missing"));
}

// Guards against reads outside a message that another router cut short or
// changed.
TEST_F(LoadCodecTest, ChangedBytes_AreRejectedOrDecoded) {
  const std::string bytes = EncodeQuestion(
      {.router = "entry-1", .request = request_, .progress = progress_});
  std::mt19937 random(3);
  for (int i = 0; i < 20'000; ++i) {
    std::string changed = bytes.substr(
        0, std::uniform_int_distribution<size_t>(0, bytes.size())(random));
    if (!changed.empty()) {
      changed[std::uniform_int_distribution<size_t>(
          0, changed.size() - 1)(random)] = static_cast<char>(random());
    }
    DecodeQuestion(changed, kPeer).IgnoreError();
    DecodePlacementReply(changed, kPeer).IgnoreError();
    DecodeReport(changed, kPeer).IgnoreError();
  }
}

}  // namespace
}  // namespace hawthornhollow
