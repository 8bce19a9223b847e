#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/peer_codec_internal.h"
#include "hawthornhollow/totals/message_bytes.h"

namespace hawthornhollow {
namespace {

class PeerCodecTest : public testing::Test {
 protected:
  static std::string Encode(const EvacuationReport& report) {
    return EncodeMessage<fb::EvacuationReport>(EncodeEvacuations(report));
  }
  static absl::StatusOr<EvacuationReport> Decode(const std::string& bytes) {
    return DecodeEvacuations(bytes, SteadyNow(), "peer");
  }

  const EvacuationReport report_{
      .position = {.era = 3, .offset = 40},
      .first_end = 30,
      .era_began = SteadyNow() - absl::Seconds(20),
      .read_at = SteadyNow() - absl::Seconds(1),
      .domains = {{.domain = "a",
                   .before = EvacuationRecord{.era = 2,
                                              .offset = 35,
                                              .is_evacuated = true,
                                              .written_since = 1,
                                              .previous_offset = 7,
                                              .read_before = 34}},
                  {.domain = "b",
                   .current = EvacuationRecord{.era = 3, .offset = 12}}}};
};

TEST_F(PeerCodecTest, EvacuationReport_IsReadAsWrittenAndNotAsNewer) {
  const auto told = Decode(Encode(report_));
  ASSERT_TRUE(told.ok()) << told.status();
  EXPECT_EQ(told->position, report_.position);
  EXPECT_EQ(told->first_end, report_.first_end);
  EXPECT_EQ(told->domains, report_.domains);
  EXPECT_LE(told->read_at, report_.read_at + absl::Milliseconds(1));
  EXPECT_GE(told->era_began, report_.era_began);
}

// A message that could end evacuations, or keep them for ever.
TEST_F(PeerCodecTest, EvacuationReportThatCannotBeSo_IsRejectedWhole) {
  std::vector<EvacuationReport> bad(7, report_);
  bad[0].position.era = -1;
  bad[1].position.offset = -1;
  bad[2].domains[0].domain = "";
  bad[3].domains[0].before->era = 3;
  bad[4].domains[0].before->offset = -1;
  bad[5].domains[1].current->era = 4;
  bad[6].read_at = SteadyNow() + absl::Seconds(5);
  for (size_t i = 0; i < bad.size(); ++i) {
    const auto told = Decode(Encode(bad[i]));
    EXPECT_EQ(told.status().code(), absl::StatusCode::kDataLoss) << i;
  }
  const std::string bytes = Encode(report_);
  for (size_t size = 0; size < bytes.size(); ++size) {
    // One that is cut within its last padding is whole.
    const auto told = Decode(bytes.substr(0, size));
    if (told.ok())
      EXPECT_EQ(told->domains, report_.domains) << size;
    else
      EXPECT_EQ(told.status().code(), absl::StatusCode::kDataLoss) << size;
  }
}

}  // namespace
}  // namespace hawthornhollow
