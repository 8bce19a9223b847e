// Clients that are not trusted, 60 of one kind at a time, against the program
// of the entry VMs with the memory and the descriptors of a small VM. Their
// keys are sound: nothing but what they send tells them from ordinary callers.
//
// Bounds: the VM's memory (peak of the resident set) and its descriptors. They
// come from the settings, not from what was measured.

#include "testing/untrusted_client_fixture.h"

namespace hawthornhollow {
namespace {

class UntrustedClientTest : public UntrustedClientFixture {};

// Guards against a sum of bodies that nothing limits.
TEST_F(UntrustedClientTest, LargeLegalBodies_Whole_MemoryStaysUnderTheVms) {
  StartSmall();
  ExpectWithstands(CrowdOfLegalBodies(/*bytes_per_turn=*/64 * 1024));
}

TEST_F(UntrustedClientTest, LargeLegalBodies_InPieces_MemoryStaysUnderTheVms) {
  StartSmall();
  ExpectWithstands(CrowdOfLegalBodies(/*bytes_per_turn=*/2 * 1024));
}

// Guards against memory that is accounted by a declared length only.
TEST_F(UntrustedClientTest, LargeChunks_StopShort_MemoryStaysUnderTheVms) {
  constexpr size_t kChunkBytes = 64 * 1024;
  StartSmall();
  const std::string chunk = Chunk(kChunkBytes);
  ExpectWithstands(
      Crowd({.head = ChunkedHead(),
             .unit = chunk,
             .unit_bytes = kMaxBodyBytes / kChunkBytes * chunk.size() -
                           kStopsShortBytes}));
}

// Guards against memory or time for each chunk. Smaller bodies and less memory
// than the other kinds, as each byte of a body is six on the wire.
TEST_F(UntrustedClientTest, OneByteChunks_StopShort_MemoryStaysUnderTheVms) {
  constexpr size_t kBodyBytes = 1024 * 1024;
  StartSmall(/*memory_mb=*/48);
  const std::string chunk = Chunk(1);
  ExpectWithstands(
      Crowd({.head = ChunkedHead(),
             .unit = chunk,
             .unit_bytes = kBodyBytes * chunk.size() - kStopsShortBytes}));
}

// Guards against a limit of the configuration that is not looked at before the
// body is read: the router's own limit is wider.
TEST_F(UntrustedClientTest, BeyondTheLimit_Declared_MemoryStaysUnderTheVms) {
  constexpr size_t kBodyBytes = 6 * 1024 * 1024;
  StartSmall();
  ExpectWithstands(Crowd({.head = DeclaredHead(kBodyBytes),
                          .unit = "x",
                          .unit_bytes = kBodyBytes - kStopsShortBytes}));
}

TEST_F(UntrustedClientTest, BeyondTheLimit_Chunked_MemoryStaysUnderTheVms) {
  constexpr size_t kBodyBytes = 12 * 1024 * 1024;
  StartSmall();
  ExpectWithstands(Crowd({.head = ChunkedHead(),
                          .unit = Chunk(64 * 1024),
                          .unit_bytes = kBodyBytes}));
}

// Guards against descriptors that connections hold which never send a request.
TEST_F(UntrustedClientTest,
       IncompleteHeads_StayOpen_DescriptorsStayUnderTheVms) {
  StartSmall(kMemoryMb, /*max_fds=*/64);
  ExpectWithstands(
      Crowd({.head = "POST /order/a HTTP/1.1\r\nHost: h.example\r\nMore: ",
             .unit = "x",
             .unit_bytes = 15'000}));
}

// Guards against ports with other limits than that of callers.
TEST_F(UntrustedClientTest, LargeBodiesForOtherRouters_MemoryStaysUnderTheVms) {
  StartSmall();
  ExpectWithstandsAt(peers_, CrowdOfLegalBodies(/*bytes_per_turn=*/64 * 1024));
}

// Guards against a body that is read although the head decides. The bodies
// never come.
TEST_F(UntrustedClientTest, HeadDecides_IsAnsweredBeforeTheBody) {
  struct Case {
    standins::CallerRequest request;
    std::string framing;
    std::string answer;
  };
  const Case cases[] = {{{.id = "a", .path = "/nowhere/a", .key = "k1"},
                         "Content-Length: 4000000",
                         "HTTP/1.1 404"},
                        {{.id = "b", .path = "/order/a", .key = "k2"},
                         "Content-Length: 4000000",
                         "HTTP/1.1 401"},
                        {{.id = "c", .path = "/order/a", .key = "k2"},
                         "Transfer-Encoding: chunked",
                         "HTTP/1.1 401"},
                        {{.id = "d", .path = "/order/a", .key = "k1"},
                         "Content-Length: 4194305",
                         "HTTP/1.1 413"},
                        {{.id = "e", .path = "/order/a", .key = "k1"},
                         "Expect: 100-continue\r\nContent-Length: 4194305",
                         "HTTP/1.1 413"},
                        {{.id = "f", .path = "/order/a", .key = "k1"},
                         "Expect: 100-continue\r\nContent-Length: 4194304",
                         "HTTP/1.1 100 Continue"}};
  constexpr absl::Duration kAnswerTime = absl::Seconds(3);
  StartSmall();
  for (const Case& each : cases) {
    const std::string head =
        standins::CallerHeadBytes(each.request, each.framing);
    const RawAnswer answer = RawExchange(callers_, head, kAnswerTime);
    EXPECT_THAT(answer.bytes, testing::StartsWith(each.answer))
        << each.request.id;
  }
  EXPECT_EQ(RunsOfAll(), 0);
}

// Before there is a configuration.
TEST_F(UntrustedClientTest, RouterIsNotReady_LargeBodyIsAnswered503AtOnce) {
  StartEntry();
  const absl::Time end = absl::Now() + kWait;
  while (Readiness() == 0 && absl::Now() < end)
    absl::SleepFor(absl::Milliseconds(20));
  const RawAnswer answer = RawExchange(callers_, DeclaredHead(kMaxBodyBytes),
                                       /*timeout=*/absl::Seconds(3));
  EXPECT_THAT(answer.bytes, testing::StartsWith("HTTP/1.1 503"));
  EXPECT_THAT(answer.bytes, testing::HasSubstr("Retry-After: "));
}

// Guards against limits that honest clients meet: the largest legal body on the
// smallest VM, read slowly but steadily while nobody else wants memory.
TEST_F(UntrustedClientTest, LargestLegalBody_SentSlowly_IsServed) {
  constexpr size_t kPieceBytes = 64 * 1024;
  StartSmall(/*memory_mb=*/88);
  for (const bool is_chunked : {false, true}) {
    std::string bytes =
        is_chunked ? ChunkedHead() : DeclaredHead(kMaxBodyBytes);
    for (size_t i = 0; i < kMaxBodyBytes / kPieceBytes; ++i)
      bytes += is_chunked ? Chunk(kPieceBytes) : std::string(kPieceBytes, 'x');
    bytes += is_chunked ? "0\r\n\r\n" : "";
    EXPECT_THAT(
        SendSteadily(callers_, bytes, kPieceBytes, absl::Milliseconds(30)),
        testing::StartsWith("HTTP/1.1 200"));
  }
  EXPECT_LE(MemoryMb("VmHWM"), memory_mb_);
}

}  // namespace
}  // namespace hawthornhollow
