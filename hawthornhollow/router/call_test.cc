#include "hawthornhollow/router/call.h"

#include <string>

#include "gtest/gtest.h"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

constexpr char kRequest[] = "ward-1/order-1";
// One letter for each alternative of CallEvent, in the order of the variant.
constexpr char kEventLetters[] = "HDERLTG";
constexpr absl::Duration kShort = absl::Milliseconds(1);

// Provides a call for kRequest and frames that belong to it by default.
class CallTest : public ::testing::Test {
 protected:
  static fb::HeadT Head() {
    fb::HeadT head;
    head.request = kRequest;
    head.status = 200;
    return head;
  }

  static fb::DataT Data(int64_t sequence, const std::string& text) {
    fb::DataT data;
    data.request = kRequest;
    data.sequence = sequence;
    data.bytes.assign(text.begin(), text.end());
    return data;
  }

  static fb::EndT End(int64_t sequence, const std::string& body) {
    fb::EndT end;
    end.request = kRequest;
    end.sequence = sequence;
    end.kind = fb::EndKind::Completed;
    end.bytes = static_cast<int64_t>(body.size());
    end.checksum = StableHash(body);
    return end;
  }

  // Consumes all queued events and returns them as one letter each.
  std::string Events() {
    std::string letters;
    while (true) {
      CallEvent event = call_.Next(kShort);
      if (std::holds_alternative<CallTimeout>(event))
        return letters;
      letters.push_back(kEventLetters[event.index()]);
    }
  }

  Call call_{kRequest, 1};
};

TEST_F(CallTest, FramesInOrder_AreAllDelivered) {
  EXPECT_TRUE(call_.OnHead(Head()));
  EXPECT_TRUE(call_.OnData(Data(0, "ab")));
  EXPECT_TRUE(call_.OnData(Data(1, "c")));
  EXPECT_TRUE(call_.OnEnd(End(2, "abc")));
  EXPECT_EQ(Events(), "HDDE");
}

TEST_F(CallTest, FrameOfAnotherRequest_IsDropped) {
  call_.OnHead(Head());
  fb::DataT other_request_data = Data(0, "x");
  other_request_data.request = "ward-2/order-1";
  EXPECT_TRUE(call_.OnData(other_request_data));
  EXPECT_EQ(Events(), "H");
  EXPECT_EQ(call_.next_sequence(), 0);
}

TEST_F(CallTest, RepeatedFrame_IsDropped) {
  call_.OnHead(Head());
  call_.OnData(Data(0, "ab"));
  EXPECT_TRUE(call_.OnData(Data(0, "ab")));
  call_.OnEnd(End(1, "ab"));
  EXPECT_EQ(Events(), "HDE");
}

TEST_F(CallTest, MissingFrame_RequestsReattachment) {
  call_.OnHead(Head());
  EXPECT_FALSE(call_.OnData(Data(1, "b")));
  EXPECT_FALSE(call_.OnEnd(End(2, "ab")));
  EXPECT_EQ(call_.next_sequence(), 0);
  EXPECT_EQ(Events(), "H");
}

TEST_F(CallTest, EndWithWrongChecksum_FailsCall) {
  call_.OnHead(Head());
  call_.OnData(Data(0, "ab"));
  call_.OnEnd(End(1, "xy"));
  EXPECT_EQ(Events(), "HDL");
}

TEST_F(CallTest, EndWithWrongLength_FailsCall) {
  call_.OnHead(Head());
  call_.OnData(Data(0, "ab"));
  call_.OnEnd(End(1, "abc"));
  EXPECT_EQ(Events(), "HDL");
}

TEST_F(CallTest, FramesAfterEnd_AreDropped) {
  call_.OnHead(Head());
  call_.OnEnd(End(0, ""));
  EXPECT_TRUE(call_.OnData(Data(0, "late")));
  call_.OnLost("link broke");
  EXPECT_EQ(Events(), "HE");
}

}  // namespace
}  // namespace hawthornhollow
