#ifndef TESTING_UNTRUSTED_CLIENT_FIXTURE_H_
#define TESTING_UNTRUSTED_CLIENT_FIXTURE_H_

// Clients that are not trusted against the program of the entry VMs: kinds of
// clients, and what has to hold with them and after them.

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

class UntrustedClientFixture : public EntryFixture {
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
    return standins::CallerHeadBytes(
        {.id = "crowd", .path = "/order/a", .key = "k1"}, framing);
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
    ExpectWithstandsAt(callers_, std::move(plans));
  }
  void ExpectWithstandsAt(const Endpoint& port, std::vector<ClientPlan> plans) {
    ClientCrowd crowd(port, std::move(plans));
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

  std::vector<ClientPlan> Crowd(const ClientPlan& plan) const {
    return std::vector<ClientPlan>(clients_, plan);
  }
  // Most stop just short of the end; the last ones send all.
  std::vector<ClientPlan> CrowdOfLegalBodies(size_t bytes_per_turn) const {
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

  size_t clients_ = kClients;
};

}  // namespace hawthornhollow

#endif  // TESTING_UNTRUSTED_CLIENT_FIXTURE_H_
