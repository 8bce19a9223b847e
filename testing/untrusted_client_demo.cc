// 1,000 clients that are not trusted, of one kind at a time, against a router
// with the memory and the descriptors of the smallest VM. Run by hand: it takes
// minutes, and most of a processor.
//
//   build/testing/untrusted_client_demo

#include "testing/untrusted_client_fixture.h"

namespace hawthornhollow {
namespace {

class UntrustedClientDemo : public UntrustedClientFixture {
 protected:
  static constexpr size_t kThousand = 1'000;
  static constexpr int64_t kSmallestMemoryMb = 88;
  static constexpr int64_t kSmallestFds = 3'075;

  void SetUp() override {
    UntrustedClientFixture::SetUp();
    clients_ = kThousand;
    StartSmall(kSmallestMemoryMb, kSmallestFds);
  }

  ClientPlan Chunks(size_t chunk_bytes, size_t body_bytes) const {
    const std::string chunk = Chunk(chunk_bytes);
    return {.head = ChunkedHead(),
            .unit = chunk,
            .unit_bytes =
                body_bytes / chunk_bytes * chunk.size() - kStopsShortBytes};
  }
};

TEST_F(UntrustedClientDemo, LargeLegalBodies_Whole) {
  ExpectWithstands(CrowdOfLegalBodies(/*bytes_per_turn=*/64 * 1024));
}

TEST_F(UntrustedClientDemo, LargeLegalBodies_InPieces) {
  ExpectWithstands(CrowdOfLegalBodies(/*bytes_per_turn=*/2 * 1024));
}

TEST_F(UntrustedClientDemo, OrdinaryBodies_StopShort) {
  constexpr size_t kOrdinary = 100'000;
  ExpectWithstands(Crowd({.head = DeclaredHead(kOrdinary),
                          .unit = "x",
                          .unit_bytes = kOrdinary - kStopsShortBytes}));
}

TEST_F(UntrustedClientDemo, LargeChunks_StopShort) {
  ExpectWithstands(Crowd(Chunks(64 * 1024, kMaxBodyBytes)));
}

TEST_F(UntrustedClientDemo, OneByteChunks_StopShort) {
  ExpectWithstands(Crowd(Chunks(1, kMaxBodyBytes)));
}

TEST_F(UntrustedClientDemo, BeyondTheLimit_Declared) {
  constexpr size_t kBodyBytes = 6 * 1024 * 1024;
  ExpectWithstands(Crowd({.head = DeclaredHead(kBodyBytes),
                          .unit = "x",
                          .unit_bytes = kBodyBytes}));
}

TEST_F(UntrustedClientDemo, BeyondTheLimit_Chunked) {
  ExpectWithstands(Crowd(Chunks(64 * 1024, 3 * kMaxBodyBytes)));
}

TEST_F(UntrustedClientDemo, IncompleteHeads_StayOpen) {
  ExpectWithstands(
      Crowd({.head = "POST /order/a HTTP/1.1\r\nHost: h.example\r\nMore: ",
             .unit = "x",
             .unit_bytes = 15'000}));
}

// The router's own limit for heads, 64 KB, is wider than the configuration's.
TEST_F(UntrustedClientDemo, LongIncompleteHeads_StayOpen) {
  ExpectWithstands(
      Crowd({.head = "POST /order/a HTTP/1.1\r\nHost: h.example\r\nMore: ",
             .unit = "x",
             .unit_bytes = 60'000}));
}

TEST_F(UntrustedClientDemo, NothingSent_StayOpen) {
  ExpectWithstands(Crowd({.head = "", .unit = "x", .unit_bytes = 0}));
}

// No attack: what a thousand ordinary requests at once cost.
TEST_F(UntrustedClientDemo, OrdinaryRequestsAtOnce_InWork) {
  for (auto& replica : replicas_)
    replica->SetFaults({.work_time = absl::Seconds(2)});
  constexpr size_t kOrdinary = 20'000;
  ExpectWithstands(Crowd(
      {.head = DeclaredHead(kOrdinary), .unit = "x", .unit_bytes = kOrdinary}));
}

}  // namespace
}  // namespace hawthornhollow
