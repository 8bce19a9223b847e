// Backend servers in trouble before the real program of the entry VMs: what
// they send is no answer, has no end, or makes no progress.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <future>
#include <thread>

#include "absl/strings/str_cat.h"
#include "testing/entry_fixture.h"
#include "testing/raw_server_standin.h"

namespace hawthornhollow {
namespace {

using standins::RawServerStandin;
using standins::ReplicaStandin;

// The smallest entry VM has this much memory.
constexpr int64_t kSmallestVmKilobytes = 88 * 1024;

std::string StreamHead() {
  return standins::AnswerHeadBytes(
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
}

std::string PlainHead() {
  return standins::AnswerHeadBytes("Transfer-Encoding: chunked\r\n");
}

// A chunk of a body.
std::string Chunk(const std::string& data) {
  return absl::StrCat(absl::Hex(data.size()), "\r\n", data, "\r\n");
}

std::string Junk() {
  constexpr size_t kBytes = 16 * 1024;
  return std::string(kBytes, 'x');
}

std::string JunkChunk() {
  return Chunk(Junk());
}

// Lines of headers.
std::string JunkLines() {
  std::string lines;
  for (int i = 0; i < 500; ++i)
    lines += "X-Junk: xxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n";
  return lines;
}

class ServerTroubleTest : public EntryFixture {
 protected:
  // Lists a server in trouble, and a sound one if `with_sound_server`.
  void StartBefore(RawServerStandin::Script script, bool with_sound_server) {
    auto raw = RawServerStandin::Start(std::move(script));
    ASSERT_TRUE(raw.ok()) << raw.status();
    raw_ = *std::move(raw);
    PutConfiguration(/*prepaid=*/1'000'000'000);
    standins::PutServer(store_, "i-raw", raw_->local(), /*sequence=*/1);
    if (with_sound_server) {
      standins::PutServer(store_, "i-0", replica_servers_[0]->local(),
                          /*sequence=*/1);
    }
    StartEntry();
    AwaitReady();
  }

  void TearDown() override {
    EntryFixture::TearDown();
    raw_.reset();
  }

  // Sends requests until the server in trouble got one, and returns their
  // answers; at most `count`.
  std::vector<HttpResponse> SendUntilTrouble(const std::string& path,
                                             int count) {
    std::vector<HttpResponse> answers;
    for (int i = 0; i < count && raw_->requests() == 0; ++i) {
      auto answer = Send(path);
      EXPECT_TRUE(answer.ok()) << answer.status();
      if (answer.ok())
        answers.push_back(*std::move(answer));
    }
    EXPECT_GT(raw_->requests(), 0);
    return answers;
  }

  void ExpectConnectionsClosed() {
    const absl::Time end = absl::Now() + absl::Seconds(2);
    while (raw_->closed() < raw_->requests() && absl::Now() < end)
      absl::SleepFor(absl::Milliseconds(10));
    EXPECT_EQ(raw_->closed(), raw_->requests());
  }

  int64_t PeakKilobytes() const {
    std::ifstream status(absl::StrCat("/proc/", entry_->Pid(), "/status"));
    std::string word;
    int64_t kilobytes = -1;
    while (status >> word) {
      if (word == "VmHWM:")
        status >> kilobytes;
    }
    return kilobytes;
  }

  std::unique_ptr<RawServerStandin> raw_;
};

struct TroubleCase {
  const char* name;
  RawServerStandin::Script script;
};

class StreamTroubleTest : public ServerTroubleTest,
                          public testing::WithParamInterface<TroubleCase> {};

// A stream that may be resumed is answered whole by another server, and the
// connection to the one in trouble is closed.
TEST_P(StreamTroubleTest, ResumableStream_IsAnsweredWholeByAnotherServer) {
  StartBefore(GetParam().script, /*with_sound_server=*/true);
  for (const HttpResponse& answer : SendUntilTrouble("/stream/a", 20)) {
    EXPECT_EQ(answer.status, 200);
    EXPECT_THAT(answer.body, testing::EndsWith(ReplicaStandin::WholeStream()));
  }
  ExpectConnectionsClosed();
  EXPECT_LT(PeakKilobytes(), kSmallestVmKilobytes);
}

INSTANTIATE_TEST_SUITE_P(
    Troubles,
    StreamTroubleTest,
    testing::Values(
        TroubleCase{"HeadWithoutEnd",
                    {.beginning = "HTTP/1.1 200 OK\r\n",
                     .repeated = "X-Junk: xxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n"}},
        TroubleCase{"HeadByteByByte",
                    {.beginning = "HTTP/1.1 200 OK\r\nX-Junk: ",
                     .repeated = "x",
                     .pause = absl::Milliseconds(100)}},
        TroubleCase{"InterimHeadsWithoutEnd",
                    {.repeated = "HTTP/1.1 100 Continue\r\n\r\n"}},
        TroubleCase{"InterimHeadsNowAndThen",
                    {.repeated = "HTTP/1.1 100 Continue\r\n\r\n",
                     .pause = absl::Milliseconds(150)}},
        TroubleCase{"NoHttpWithoutEnd", {.repeated = "junk junk junk\r\n"}},
        TroubleCase{"EventWithoutEnd",
                    {.beginning = StreamHead(), .repeated = JunkChunk()}},
        TroubleCase{"EventByteByByte",
                    {.beginning = StreamHead(),
                     .repeated = Chunk("x"),
                     .pause = absl::Milliseconds(100)}},
        TroubleCase{"CommentsNowAndThen",
                    {.beginning = StreamHead(),
                     .repeated = Chunk(": waiting\n\n"),
                     .pause = absl::Milliseconds(100)}},
        TroubleCase{"ChunkSizeWithoutEnd",
                    {.beginning = StreamHead() + "1;",
                     .repeated = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"}},
        // The router kept all of it, and ran out of memory.
        TroubleCase{"ChunkExtensionWithoutEnd",
                    {.beginning = StreamHead() + "5;a=", .repeated = Junk()}},
        TroubleCase{
            "TrailerWithoutEnd",
            {.beginning = StreamHead() + "0\r\n", .repeated = JunkLines()}}),
    [](const auto& info) { return std::string(info.param.name); });

// An order runs once at most, so its caller learns that the outcome is unknown,
// and not that it did not run.
TEST_F(ServerTroubleTest, OrderWithABodyWithoutEnd_EndsWithOutcomeUnknown) {
  StartBefore({.beginning = PlainHead(), .repeated = JunkChunk()},
              /*with_sound_server=*/false);
  const auto answer = Send("/order/a");
  ASSERT_TRUE(answer.ok()) << answer.status();
  EXPECT_THAT(answer->status, testing::AnyOf(502, 504));
  ExpectConnectionsClosed();
}

// Many at once must not take more memory than the smallest VM has.
TEST_F(ServerTroubleTest, ManyBodiesWithoutEnd_TakeLittleMemory) {
  StartBefore({.beginning = PlainHead(), .repeated = JunkChunk()},
              /*with_sound_server=*/false);
  constexpr int kCallers = 40;
  std::vector<std::future<absl::StatusOr<HttpResponse>>> answers;
  for (int i = 0; i < kCallers; ++i) {
    answers.push_back(std::async(std::launch::async, [this, id = NextId()] {
      return PlainHttp(callers_,
                       standins::MakeCallerRequest(
                           {.id = id, .path = "/lookup/a", .key = "k1"}),
                       kWait);
    }));
  }
  for (auto& pending : answers) {
    const auto answer = pending.get();
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_NE(answer->status, 200);
  }
  ExpectConnectionsClosed();
  EXPECT_LT(PeakKilobytes(), kSmallestVmKilobytes);
}

// Answers that a faulty server begins and never ends fill what a router keeps
// to the last byte: a small answer of a sound server failed with its first one.
TEST_F(ServerTroubleTest, LargeAnswersWithoutEnd_CostNoSmallOne) {
  constexpr size_t kLargest = 4 * 1024 * 1024;  // of an answer
  constexpr int kToFill = 4;                    // 16 MB in all
  StartBefore({.beginning = standins::AnswerHeadBytes(absl::StrCat(
                                "Content-Length: ", kLargest + 1, "\r\n")) +
                            std::string(kLargest, 'x')},
              /*with_sound_server=*/false);
  std::vector<std::future<int>> large;
  for (int i = 0; i < kToFill; ++i) {
    large.push_back(std::async(std::launch::async, [this, id = NextId()] {
      const auto answer =
          PlainHttp(callers_,
                    standins::MakeCallerRequest(
                        {.id = id, .path = "/order/a", .key = "k1"}),
                    kWait);
      return answer.ok() ? answer->status : 0;
    }));
  }
  standins::PutServer(store_, "i-0", replica_servers_[0]->local(),
                      /*sequence=*/1);
  standins::DropServer(store_, "i-raw");
  absl::SleepFor(absl::Seconds(1));  // read by then
  EXPECT_EQ(raw_->requests(), kToFill);
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(StatusOf("/order/a"), 200);
  for (auto& pending : large)
    EXPECT_THAT(pending.get(), testing::AnyOf(502, 504));
}

struct EndlessRequestCase {
  const char* name;
  std::string repeated;
  std::string beginning;  // after the head
};

class EndlessRequestTest
    : public ServerTroubleTest,
      public testing::WithParamInterface<EndlessRequestCase> {
 protected:
  static constexpr absl::Duration kSendTime = absl::Seconds(4);

  // Sends a request without a key and without end, until the router closes the
  // connection.
  void SendEndless() {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(callers_.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ASSERT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)),
              0);
    std::string bytes =
        "POST /order/a HTTP/1.1\r\nHost: h.example\r\n"
        "Transfer-Encoding: chunked\r\n\r\n" +
        GetParam().beginning;
    const absl::Time end = absl::Now() + kSendTime;
    ssize_t sent = 0;
    while (sent >= 0 && absl::Now() < end) {
      sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      bytes = GetParam().repeated;
    }
    close(fd);
  }
};

// The router kept all of it, and ran out of memory.
TEST_P(EndlessRequestTest, RequestWithoutEnd_TakesLittleMemoryAndCostsNoOther) {
  StartReady();
  std::vector<std::thread> clients;
  for (int i = 0; i < 4; ++i)
    clients.emplace_back([this] { SendEndless(); });
  const absl::Time end = absl::Now() + kSendTime;
  while (absl::Now() < end)
    EXPECT_EQ(StatusOf("/order/a"), 200);
  for (std::thread& client : clients)
    client.join();
  EXPECT_LT(PeakKilobytes(), kSmallestVmKilobytes);
}

INSTANTIATE_TEST_SUITE_P(
    Requests,
    EndlessRequestTest,
    testing::Values(EndlessRequestCase{"ChunkExtension", Junk(), "5;a="},
                    EndlessRequestCase{"Trailer", JunkLines(), "0\r\n"}),
    [](const auto& info) { return std::string(info.param.name); });

// review/4: it was passed on, and no answer followed.
TEST_F(ServerTroubleTest, SwitchedProtocolsUnasked_IsNoAnswer) {
  StartBefore({.beginning = standins::SealedAnswerBytes(
                   "101 Switching Protocols", "", "done")},
              /*with_sound_server=*/false);
  EXPECT_EQ(StatusOf("/order/a"), 502);
  ExpectConnectionsClosed();
}

// The late copy of an answer is no answer to the next request.
TEST_F(ServerTroubleTest, SecondCopyOfAnAnswer_IsNotTakenForTheNextOne) {
  constexpr size_t kIdBytes = 4;  // of "id-1" to "id-9"
  const std::string copy = standins::AnswerHeadBytes(absl::StrCat(
                               "Content-Length: ", kIdBytes, "\r\n")) +
                           "$ID";
  StartBefore(
      {.beginning = copy, .repeated = copy, .pause = absl::Milliseconds(30)},
      /*with_sound_server=*/false);
  for (int i = 0; i < 9; ++i) {
    const std::string id = NextId();
    ASSERT_EQ(id.size(), kIdBytes);
    const auto received =
        PlainHttp(callers_,
                  standins::MakeCallerRequest(
                      {.id = id, .path = "/lookup/a", .key = "k1"}),
                  kWait);
    ASSERT_TRUE(received.ok()) << received.status();
    if (received->status == 200) {
      EXPECT_EQ(received->body, id);
    }
    absl::SleepFor(absl::Milliseconds(40));
  }
}

// Another writer has left them in the store, before the router starts and while
// it runs.
TEST_F(ServerTroubleTest, OddServerEntries_CostNoOtherServer) {
  auto raw = RawServerStandin::Start({.closes = true});
  ASSERT_TRUE(raw.ok()) << raw.status();
  raw_ = *std::move(raw);
  standins::PutOddServers(store_, raw_->local());
  StartReady();
  EXPECT_EQ(StatusOf("/order/a"), 200);
  standins::PutOddServers(store_, raw_->local());
  standins::DropServer(store_, "i-0");
  absl::SleepFor(absl::Seconds(1));
  const size_t runs = replicas_[0]->runs().size();
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(StatusOf("/order/a"), 200);
  // The list is followed.
  EXPECT_EQ(replicas_[0]->runs().size(), runs);
  EXPECT_EQ(raw_->requests(), 0);
  EXPECT_LT(PeakKilobytes(), kSmallestVmKilobytes);
}

struct RepeatedRefusalCase {
  const char* name;
  // Sent when the second request on a kept connection was read.
  std::string bytes;
};

// A server refuses a request, and repeats the refusal when it has taken the
// next one on the same connection, which it may be running.
class RepeatedRefusalTest
    : public ServerTroubleTest,
      public testing::WithParamInterface<RepeatedRefusalCase> {};

TEST_P(RepeatedRefusalTest, OrderThatMayRun_IsNotToldItDidNot) {
  StartBefore({.beginning = standins::RefusalBytes("$ID"),
               .on_later_request = GetParam().bytes},
              /*with_sound_server=*/false);
  EXPECT_EQ(StatusOf("/order/a"), 503);
  const auto answer = Send("/order/b");
  ASSERT_TRUE(answer.ok()) << answer.status();
  ASSERT_EQ(raw_->later_requests(), 1);
  EXPECT_THAT(answer->status, testing::AnyOf(502, 504));
  ExpectConnectionsClosed();
}

INSTANTIATE_TEST_SUITE_P(
    Refusals,
    RepeatedRefusalTest,
    testing::Values(
        RepeatedRefusalCase{"WithTheEarlierId",
                            standins::RefusalBytes("$FIRST")},
        RepeatedRefusalCase{"WithoutAnId", standins::RefusalBytes("")},
        RepeatedRefusalCase{"Twice", standins::RefusalBytes("") +
                                         standins::RefusalBytes("$FIRST")}),
    [](const auto& info) { return std::string(info.param.name); });

// The connection is not used again: more copies may follow.
TEST_F(ServerTroubleTest, AnswerAfterARepeatedRefusal_ClosesTheConnection) {
  constexpr size_t kIdBytes = 4;  // of "id-1" to "id-9"
  const std::string answer = standins::AnswerHeadBytes(absl::StrCat(
                                 "Content-Length: ", kIdBytes, "\r\n")) +
                             "$ID";
  StartBefore({.beginning = standins::RefusalBytes("$ID"),
               .on_later_request = standins::RefusalBytes("$FIRST") + answer},
              /*with_sound_server=*/false);
  EXPECT_EQ(StatusOf("/order/a"), 503);
  EXPECT_EQ(StatusOf("/order/b"), 200);
  ASSERT_EQ(raw_->later_requests(), 1);
  ExpectConnectionsClosed();
}

struct StreamEndCase {
  const char* name;
  std::string answer;  // of the server at which a stream goes on
};

std::string ErrorBytes(const std::string& status_line,
                       const std::string& more_lines = "") {
  return standins::SealedAnswerBytes(status_line, more_lines,
                                     "<html>\n\n<p>an error\n\n");
}

// A stream breaks off, and the server at which it goes on has no stream.
class StreamThatBrokeOffTest
    : public ServerTroubleTest,
      public testing::WithParamInterface<StreamEndCase> {
 protected:
  void TearDown() override {
    ServerTroubleTest::TearDown();
    second_raw_.reset();
  }
  std::unique_ptr<RawServerStandin> second_raw_;
};

TEST_P(StreamThatBrokeOffTest, NextServerAnswersWithAnError_StreamIsCut) {
  const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  auto second =
      RawServerStandin::Start({.beginning = GetParam().answer, .closes = true});
  ASSERT_TRUE(second.ok()) << second.status();
  second_raw_ = *std::move(second);
  StartBefore({.beginning = StreamHead() + Chunk(events), .closes = true},
              /*with_sound_server=*/false);
  standins::PutServer(store_, "i-second", second_raw_->local(),
                      /*sequence=*/1);
  absl::SleepFor(absl::Seconds(1));
  // Of two servers without load the first one is chosen.
  const std::string bytes =
      RawExchange(callers_,
                  standins::CallerRequestBytes(
                      {.id = NextId(), .path = "/stream/a", .key = "k1"}),
                  kWait)
          .bytes;
  ASSERT_EQ(raw_->requests(), 1);
  ASSERT_EQ(second_raw_->requests(), 1);
  EXPECT_THAT(bytes, testing::HasSubstr("data: b"));
  EXPECT_THAT(bytes, testing::Not(testing::HasSubstr("an error")));
  EXPECT_THAT(bytes, testing::Not(testing::EndsWith("0\r\n\r\n")));
  EXPECT_EQ(bytes.rfind("HTTP/1.1"), 0U) << bytes;
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    StreamThatBrokeOffTest,
    testing::Values(
        StreamEndCase{"Redirect", ErrorBytes("302 Found", "Location: /x\r\n")},
        StreamEndCase{"BadRequest", ErrorBytes("400 Bad Request")},
        StreamEndCase{"NotFound", ErrorBytes("404 Not Found")},
        StreamEndCase{"TooMany", ErrorBytes("429 Too Many Requests")},
        StreamEndCase{"NotRun", standins::RefusalBytes("$ID")},
        StreamEndCase{"ServerError", ErrorBytes("500 Server Error")},
        StreamEndCase{"PageInPlaceOfAStream",
                      ErrorBytes("200 OK", "Content-Type: text/html\r\n")},
        StreamEndCase{
            "StreamFromItsStart",
            StreamHead() + Chunk("id: 1\ndata: an error\n\n") + Chunk("")}),
    [](const auto& info) { return std::string(info.param.name); });

// Such a caller takes the end of its connection for that of the stream.
TEST_F(ServerTroubleTest, StreamThatBreaksOffForHttp10_EndsWithAReset) {
  StartBefore(
      {.beginning = StreamHead() + Chunk("id: 1\ndata: a\n\n"), .closes = true},
      /*with_sound_server=*/false);
  std::string request = standins::CallerRequestBytes(
      {.id = NextId(), .path = "/stream/a", .key = "k1"});
  const size_t version = request.find("HTTP/1.1");
  request.replace(version, 8, "HTTP/1.0");
  const RawAnswer answer = RawExchange(callers_, request, kWait);
  EXPECT_THAT(answer.bytes, testing::HasSubstr("data: a"));
  EXPECT_TRUE(answer.was_reset);
}

// A stream whose events come slowly, but come, is not cut.
TEST_F(ServerTroubleTest, SlowButSoundStream_IsNotCut) {
  StartReady();
  for (auto& replica : replicas_)
    replica->SetEventPause(absl::Milliseconds(600));
  const auto answer = Send("/stream/a");
  ASSERT_TRUE(answer.ok()) << answer.status();
  EXPECT_EQ(answer->body, ReplicaStandin::WholeStream());
  EXPECT_EQ(RunsOfAll(), 1);
}

TEST_F(ServerTroubleTest, AnswerWithoutLengthOrChunks_IsPassedOnWhole) {
  StartBefore({.beginning = standins::AnswerHeadBytes("") + "the whole body",
               .closes = true},
              /*with_sound_server=*/false);
  const auto answer = Send("/lookup/a");
  ASSERT_TRUE(answer.ok()) << answer.status();
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(answer->body, "the whole body");
}

TEST_F(ServerTroubleTest, StreamWithoutLengthOrChunks_IsPassedOnWhole) {
  const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  StartBefore({.beginning = standins::AnswerHeadBytes(
                                "Content-Type: text/event-stream\r\n") +
                            events,
               .closes = true},
              /*with_sound_server=*/false);
  const auto stream = Send("/stream/a");
  ASSERT_TRUE(stream.ok()) << stream.status();
  EXPECT_EQ(stream->status, 200);
  EXPECT_EQ(stream->body, events);
}

TEST_F(ServerTroubleTest, StreamEndsInsideAnEvent_ItDoesNotLookComplete) {
  const std::string events = "id: 1\ndata: a\n\nid: 2\nda";
  const std::string type = "Content-Type: text/event-stream\r\n";
  const std::string framings[] = {
      standins::AnswerHeadBytes(type) + events,
      standins::AnswerHeadBytes(
          absl::StrCat(type, "Content-Length: ", events.size(), "\r\n")) +
          events,
      StreamHead() + Chunk(events) + Chunk("")};
  for (const std::string& bytes : framings) {
    auto raw = RawServerStandin::Start({.beginning = bytes, .closes = true});
    ASSERT_TRUE(raw.ok()) << raw.status();
    raw_ = *std::move(raw);
    PutConfiguration(/*prepaid=*/1'000'000'000);
    standins::PutServer(store_, "i-raw", raw_->local(), /*sequence=*/1);
    StartEntry();
    AwaitReady();
    EXPECT_FALSE(Send("/stream/a").ok()) << bytes;
    entry_.reset();
  }
}

TEST_F(ServerTroubleTest, StreamEndsInsideAnEvent_GoesOnAtAnotherServer) {
  StartReady();
  for (auto& replica : replicas_)
    replica->SetFaults({.end_inside_event = 6});
  const auto stream = Send("/stream/a");
  ASSERT_TRUE(stream.ok()) << stream.status();
  EXPECT_EQ(stream->body, ReplicaStandin::WholeStream());
}

}  // namespace
}  // namespace hawthornhollow
