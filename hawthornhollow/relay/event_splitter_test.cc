#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <random>

#include "hawthornhollow/relay/relay.h"

namespace hawthornhollow {
namespace {

using testing::ElementsAre;

class EventSplitterTest : public testing::Test {
 protected:
  EventSplitter splitter_;
};

TEST_F(EventSplitterTest, WholeEvents_ComeWithTheirIdsAndBytes) {
  const auto events = splitter_.Feed("id: 3\ndata: a\n\ndata: b\n\n");
  EXPECT_THAT(events, ElementsAre(StreamEvent{3, "id: 3\ndata: a\n\n"},
                                  StreamEvent{std::nullopt, "data: b\n\n"}));
  EXPECT_EQ(splitter_.rest(), "");
}

TEST_F(EventSplitterTest, EventsOfCommentLinesOnly_AreMarked) {
  const struct {
    const char* bytes;
    bool is_comment;
  } cases[] = {{": waiting\n\n", true},
               {":\n: again\n\n", true},
               {"\n\n", true},
               {": waiting\ndata: a\n\n", false},
               {"data: :\n\n", false}};
  for (const auto& [bytes, is_comment] : cases) {
    const auto events = EventSplitter().Feed(bytes);
    ASSERT_EQ(events.size(), 1);
    EXPECT_EQ(events[0].is_comment, is_comment) << bytes;
  }
}

TEST_F(EventSplitterTest, IncompleteEvent_StaysInTheRest) {
  EXPECT_THAT(splitter_.Feed("id: 1\ndata: a\n\nid: 2\nda"),
              ElementsAre(StreamEvent{1, "id: 1\ndata: a\n\n"}));
  EXPECT_EQ(splitter_.rest(), "id: 2\nda");
}

TEST_F(EventSplitterTest, RestOfAStream_IsInsideAnEventOrNot) {
  const struct {
    const char* rest;
    bool is_inside;
  } cases[] = {{"", false},
               {"\n", false},
               {": waiting", false},
               {": waiting\n", false},
               {"id: 2\nda", true},
               {"id: 2\ndata: b\n", true},
               {": waiting\ndata: b", true},
               {"id: 2\r\ndata: b\r\n\r\n", false},
               {"id: 2\r\ndata: b\r\n", true},
               {"id: 2\rdata: b\r\r", false}};
  for (const auto& [rest, is_inside] : cases)
    EXPECT_EQ(EventSplitter::IsInsideEvent(rest), is_inside) << rest;
}

// review/7: a service whose lines end with CR LF was not charged for.
TEST_F(EventSplitterTest, LinesThatEndOtherwise_GiveTheSameEvents) {
  for (const std::string end : {"\n", "\r\n", "\r"}) {
    EventSplitter splitter;
    const std::string first = "id: 3" + end + "data: a" + end + end;
    const std::string second = ": waiting" + end + end;
    const std::string third = "data: b" + end + end;
    std::vector<StreamEvent> events = splitter.Feed(first + second + third);
    if (const auto last = splitter.TakeLast())
      events.push_back(*last);
    EXPECT_THAT(events, ElementsAre(StreamEvent{3, first},
                                    StreamEvent{std::nullopt, second, true},
                                    StreamEvent{std::nullopt, third}));
    EXPECT_EQ(splitter.rest(), "");
  }
}

TEST_F(EventSplitterTest, StreamThatEndsInsideAnEvent_HasNoLastOne) {
  for (const char* rest : {"", "\n", "id: 2\r", "id: 2\r\n", "data: b\n"}) {
    EventSplitter splitter;
    EXPECT_TRUE(splitter.Feed(rest).empty());
    EXPECT_FALSE(splitter.TakeLast().has_value()) << rest;
  }
}

TEST_F(EventSplitterTest, AnyDivisionIntoPieces_GivesTheSameEvents) {
  std::string stream;
  for (int i = 0; i < 40; ++i) {
    const std::string end = i % 3 == 0 ? "\n" : i % 3 == 1 ? "\r\n" : "\r";
    stream += "id: " + std::to_string(i) + end +
              "data: " + std::string(i, 'x') + end + end;
  }
  stream += "data: last\n\n";
  const auto expected = EventSplitter().Feed(stream);
  ASSERT_EQ(expected.size(), 41);
  std::mt19937_64 random(7);
  for (int round = 0; round < 200; ++round) {
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    for (size_t at = 0; at < stream.size();) {
      const size_t size = std::uniform_int_distribution<size_t>(1, 30)(random);
      for (StreamEvent& event : splitter.Feed(stream.substr(at, size)))
        events.push_back(std::move(event));
      at += size;
    }
    EXPECT_EQ(events, expected);
  }
}

}  // namespace
}  // namespace hawthornhollow
