#include "hawthornhollow/gate/run_outcome.h"

#include <gtest/gtest.h>

#include "hawthornhollow/gate/usage_meter.h"

namespace hawthornhollow {
namespace {

class RunOutcomeTest : public ::testing::Test {};

TEST_F(RunOutcomeTest, EachCombinationOfObservationsHasExpectedEnd) {
  const absl::Status ok;
  const absl::Status refused = absl::UnavailableError("");
  const absl::Status broken = absl::AbortedError("");
  const absl::Status timeout = absl::DeadlineExceededError("");
  struct Case {
    const char* name;
    CallObservations observations;
    absl::Status status;
    fb::EndKind kind;
  };
  const CallObservations chat{.status_code = 200};
  const CallObservations service{.idempotent = false, .status_code = 200};
  CallObservations chat_unanswered = chat;
  chat_unanswered.status_code = 0;
  CallObservations service_unanswered = service;
  service_unanswered.status_code = 0;
  CallObservations stopped = chat;
  stopped.stopped = true;
  CallObservations output_limit_exceeded = chat;
  output_limit_exceeded.output_limit_exceeded = true;
  CallObservations early = chat;
  early.answer_complete = false;
  CallObservations chat_500 = chat;
  chat_500.status_code = 503;
  CallObservations service_500 = service;
  service_500.status_code = 503;
  const Case cases[] = {
      {"chat whole", chat, ok, fb::EndKind::Completed},
      {"chat refused", chat_unanswered, refused, fb::EndKind::NotRun},
      {"chat broken", chat, broken, fb::EndKind::BackendFailed},
      {"chat unanswered", chat_unanswered, timeout, fb::EndKind::Unknown},
      {"chat stopped", stopped, broken, fb::EndKind::Cancelled},
      {"chat stopped, ended by engine", stopped, ok, fb::EndKind::Cancelled},
      {"chat over limit", output_limit_exceeded, absl::CancelledError(""),
       fb::EndKind::BackendFailed},
      {"chat without end mark", early, ok, fb::EndKind::BackendFailed},
      {"chat 503", chat_500, ok, fb::EndKind::BackendFailed},
      {"service whole", service, ok, fb::EndKind::Completed},
      {"service 503", service_500, ok, fb::EndKind::Completed},
      {"service refused", service_unanswered, refused, fb::EndKind::NotRun},
      {"service broken", service, broken, fb::EndKind::Unknown},
      {"service unanswered", service_unanswered, timeout, fb::EndKind::Unknown},
      {"service unavailable late", service, refused, fb::EndKind::Unknown},
  };
  for (const Case& c : cases) {
    EXPECT_EQ(ClassifyRunEnd(c.observations, c.status).kind, c.kind) << c.name;
  }
}

constexpr char kStream[] =
    "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n"
    "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\r\n\n"
    ": comment\n"
    "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n";

class UsageMeterTest : public ::testing::Test {};

TEST_F(UsageMeterTest, StreamWithoutUsageCountsContentChunks) {
  UsageMeter meter(UsageMeter::Format::kEventStream);
  meter.Update(kStream);
  EXPECT_FALSE(meter.complete());
  meter.Update("data: [DONE]\n\n");
  meter.Finish();
  EXPECT_TRUE(meter.complete());
  EXPECT_EQ(meter.output_tokens(), 2);
  EXPECT_EQ(meter.prompt_tokens(), std::nullopt);
}

TEST_F(UsageMeterTest, StreamSplitAnywhereGivesSameUsage) {
  const std::string stream =
      std::string(kStream) +
      "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,"
      "\"completion_tokens\":7}}\n\ndata: [DONE]";
  for (size_t cut = 0; cut <= stream.size(); ++cut) {
    UsageMeter meter(UsageMeter::Format::kEventStream);
    meter.Update(std::string_view(stream).substr(0, cut));
    meter.Update(std::string_view(stream).substr(cut));
    meter.Finish();
    ASSERT_TRUE(meter.complete()) << cut;
    ASSERT_EQ(meter.output_tokens(), 7) << cut;
    ASSERT_EQ(meter.prompt_tokens(), 9) << cut;
  }
}

TEST_F(UsageMeterTest, AnswerCancelledByEngineIsNotComplete) {
  UsageMeter meter(UsageMeter::Format::kEventStream);
  meter.Update(
      "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"cancelled\"}]}\n"
      "data: [DONE]\n");
  EXPECT_FALSE(meter.complete());
}

TEST_F(UsageMeterTest, JsonAnswerGivesUsageAndTruncatedOneIsIncomplete) {
  UsageMeter whole(UsageMeter::Format::kJson);
  whole.Update("{\"usage\":{\"prompt_tokens\":3,");
  whole.Update("\"completion_tokens\":4}}");
  whole.Finish();
  EXPECT_TRUE(whole.complete());
  EXPECT_EQ(whole.output_tokens(), 4);
  UsageMeter cut(UsageMeter::Format::kJson);
  cut.Update("{\"usage\":");
  cut.Finish();
  EXPECT_FALSE(cut.complete());
}

TEST_F(UsageMeterTest, UsageOfWrongTypeOrNegativeIsIgnored) {
  UsageMeter meter(UsageMeter::Format::kJson);
  meter.Update(
      "{\"usage\":{\"prompt_tokens\":-1,\"completion_tokens\":\"x\"}}");
  meter.Finish();
  EXPECT_EQ(meter.prompt_tokens(), std::nullopt);
  EXPECT_EQ(meter.output_tokens(), 0);
}

}  // namespace
}  // namespace hawthornhollow
