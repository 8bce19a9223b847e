#include "hawthornhollow/router/chat_request.h"

#include <string>

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "hawthornhollow/router/reply_relay.h"

namespace hawthornhollow {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

constexpr char kBody[] =
    R"({"model":"m","rank":"urgent","stream":true,"max_tokens":9,)"
    R"("messages":[{"role":"user","content":"abcde"}],"top_p":0.5})";

TEST(ChatRequestTest, Parse_CompleteBody_ReadsAllFields) {
  auto request = ParseChatRequest(kBody);
  ASSERT_TRUE(request.ok()) << request.status();
  EXPECT_EQ(request->model, "m");
  EXPECT_EQ(request->rank, "urgent");
  EXPECT_TRUE(request->stream);
  EXPECT_EQ(request->max_output_tokens, 9);
  EXPECT_EQ(request->prompt_token_bound,
            13);  // 5 bytes of text and 8 for the message
  EXPECT_EQ(request->prefix, "abcde");
}

TEST(ChatRequestTest, Parse_ContentInParts_CountsEveryPart) {
  auto request = ParseChatRequest(
      R"({"model":"m","messages":[{"content":[{"text":"ab"},{"text":"c"}]}]})");
  ASSERT_TRUE(request.ok()) << request.status();
  EXPECT_EQ(request->prompt_token_bound, 11);
}

TEST(ChatRequestTest, Parse_InvalidBody_NamesField) {
  const struct {
    std::string body;
    std::string error;
  } cases[] = {
      {"{", "body: is not JSON"},
      {"[]", "body: must be a JSON object"},
      {R"({"messages":[{"content":"a"}]})", "model: is missing"},
      {R"({"model":1,"messages":[{"content":"a"}]})",
       "model: must be a string"},
      {R"({"model":"m"})", "messages: must be a non-empty array"},
      {R"({"model":"m","messages":[]})", "messages: must be a non-empty array"},
      {R"({"model":"m","messages":["a"]})", "messages: each message must"},
      {R"({"model":"m","messages":[{"content":7}]})", "messages.content: must"},
      {R"({"model":"m","stream":1,"messages":[{"content":"a"}]})",
       "stream: must be true or false"},
      {R"({"model":"m","max_tokens":0,"messages":[{"content":"a"}]})",
       "max_tokens: must be a whole number"},
      {R"({"model":"m","max_tokens":"9","messages":[{"content":"a"}]})",
       "max_tokens: must be a whole number"},
      {std::string(100, '['), "body: is not JSON"},
  };
  for (const auto& test : cases) {
    auto request = ParseChatRequest(test.body);
    ASSERT_FALSE(request.ok()) << test.body;
    EXPECT_THAT(std::string(request.status().message()), HasSubstr(test.error));
  }
}

TEST(ChatRequestTest, BodyForEngine_SetsLimitAndKeepsOtherFields) {
  std::string body = BodyForEngine(kBody, 4);
  EXPECT_THAT(body, HasSubstr("\"max_tokens\":4"));
  EXPECT_THAT(body, HasSubstr("\"top_p\""));
  EXPECT_THAT(body, Not(HasSubstr("\"rank\"")));
}

TEST(TokenEventCounterTest, StreamSplitAnywhere_CountsEachTokenOnce) {
  const std::string stream =
      "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
      "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n"
      "data: {\"choices\":[{\"delta\":{}}],\"usage\":{}}\n\n"
      "data: [DONE]\n\n";
  for (size_t split = 1; split < stream.size(); ++split) {
    TokenEventCounter counter;
    counter.Add(std::string_view(stream).substr(0, split));
    counter.Add(std::string_view(stream).substr(split));
    EXPECT_EQ(counter.tokens(), 2) << split;
  }
}

}  // namespace
}  // namespace hawthornhollow
