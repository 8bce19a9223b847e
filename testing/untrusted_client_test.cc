// Clients that are not trusted, 60 of one kind at a time, against the program
// of the entry VMs with the memory and the descriptors of a small VM. Their
// keys are sound: nothing but what they send tells them from ordinary callers.
//
// Bounds: the VM's memory (peak of the resident set) and its descriptors. They
// come from the settings, not from what was measured.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "testing/client_crowd.h"
#include "testing/entry_fixture.h"

namespace hawthornhollow {
namespace {

class UntrustedClientTest : public EntryFixture {
 protected:
  static constexpr size_t kClients = 60;
  static constexpr int64_t kMemoryMb = 64;
  // Room for the crowd of all kinds but that of incomplete heads.
  static constexpr int64_t kMaxFds = 256;
  static constexpr size_t kMaxBodyBytes = 4'194'304;
  static constexpr size_t kStopsShortBytes = 10;
  // Less than the time that a request has to arrive (10 s): all are still
  // connected at its end.
  static constexpr absl::Duration kSendTime = absl::Seconds(8);

  void StartSmall(int64_t memory_mb = kMemoryMb, int64_t max_fds = kMaxFds) {
    memory_mb_ = memory_mb;
    max_fds_ = max_fds;
    StartReady();
  }

  // The head of an order with this line of framing.
  static std::string HeadWith(const std::string& framing) {
    return absl::StrCat(
        "POST /order/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: crowd\r\n"
        "Deadline-Ms: 8000\r\nAuthorization: Token k1\r\n",
        framing, "\r\n\r\n");
  }
  static std::string DeclaredHead(size_t bytes) {
    return HeadWith(absl::StrCat("Content-Length: ", bytes));
  }
  static std::string ChunkedHead() {
    return HeadWith("Transfer-Encoding: chunked");
  }
  static std::string Chunk(size_t bytes) {
    return absl::StrCat(absl::Hex(bytes), "\r\n", std::string(bytes, 'x'),
                        "\r\n");
  }

  // Of /proc/PID/status, in MB.
  int64_t MemoryMb(const std::string& field) const {
    std::ifstream status(absl::StrCat("/proc/", entry_->Pid(), "/status"));
    std::string line;
    while (std::getline(status, line)) {
      absl::string_view rest = line;
      int64_t kilobytes = 0;
      if (absl::ConsumePrefix(&rest, field + ":") &&
          absl::ConsumeSuffix(&rest, " kB") &&
          absl::SimpleAtoi(rest, &kilobytes))
        return kilobytes / 1024;
    }
    ADD_FAILURE() << "no " << field;
    return 0;
  }

  int64_t OpenDescriptors() const {
    std::error_code error;
    const std::filesystem::directory_iterator folder(
        absl::StrCat("/proc/", entry_->Pid(), "/fd"), error);
    return error ? 0 : std::distance(begin(folder), end(folder));
  }

  // Sends, and checks the bounds, with the crowd still there and after it.
  void ExpectWithstands(std::vector<ClientPlan> plans) {
    ClientCrowd crowd(callers_, std::move(plans));
    int64_t most_descriptors = 0;
    crowd.Send(kSendTime, [&] {
      most_descriptors = std::max(most_descriptors, OpenDescriptors());
    });
    ExpectAliveAndAnswering("with the crowd");
    const int64_t peak_mb = MemoryMb("VmHWM");
    RecordProperty("peak_mb", static_cast<int>(peak_mb));
    std::printf("sent %zu MB; peak %lld MB, now %lld MB; %lld descriptors\n",
                crowd.sent() >> 20, static_cast<long long>(peak_mb),
                static_cast<long long>(MemoryMb("VmRSS")),
                static_cast<long long>(most_descriptors));
    crowd.Close();
    ExpectAliveAndAnswering("after the crowd");
    EXPECT_LE(MemoryMb("VmHWM"), memory_mb_);
    EXPECT_LE(most_descriptors, max_fds_);
    ExpectMemoryReturned();
  }

  void ExpectAliveAndAnswering(const std::string& when) {
    EXPECT_EQ(entry_->Wait(absl::ZeroDuration()).status().code(),
              absl::StatusCode::kDeadlineExceeded)
        << when << ErrorsOfEntry();
    EXPECT_EQ(StatusOf("/order/a"), 200) << when;
  }

  // Half of the VM's memory is free for others again.
  void ExpectMemoryReturned() {
    const absl::Time end = absl::Now() + kWait;
    while (MemoryMb("VmRSS") > memory_mb_ / 2 && absl::Now() < end)
      absl::SleepFor(absl::Milliseconds(50));
    EXPECT_LE(MemoryMb("VmRSS"), memory_mb_ / 2);
  }

  static std::vector<ClientPlan> Crowd(const ClientPlan& plan) {
    return std::vector<ClientPlan>(kClients, plan);
  }
  // Most stop just short of the end; the last ones send all.
  static std::vector<ClientPlan> CrowdOfLegalBodies(size_t bytes_per_turn) {
    constexpr size_t kWhole = 10;
    std::vector<ClientPlan> plans =
        Crowd({.head = DeclaredHead(kMaxBodyBytes),
               .unit = "x",
               .unit_bytes = kMaxBodyBytes - kStopsShortBytes,
               .bytes_per_turn = bytes_per_turn});
    for (size_t i = plans.size() - kWhole; i < plans.size(); ++i)
      plans[i].unit_bytes = kMaxBodyBytes;
    return plans;
  }
};

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
