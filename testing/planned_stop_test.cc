// A planned stop (SIGTERM) in calm: what was read gets an answer before the
// process ends.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <future>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "testing/entry_fixture.h"

namespace hawthornhollow {
namespace {

using standins::ReplicaStandin;

class PlannedStopTest : public EntryFixture {
 protected:
  void StartWithWork(absl::Duration work_time) {
    for (auto& replica : replicas_)
      replica->SetFaults({.work_time = work_time});
    StartReady();
  }

  void Stop() { ASSERT_TRUE(entry_->Signal(SIGTERM).ok()); }

  void ExpectExit() {
    const auto exit = entry_->Wait(kWait);
    ASSERT_TRUE(exit.ok()) << exit.status();
    EXPECT_EQ(*exit, 0);
  }

  // Sends a request in two parts, the second one after a pause, and returns all
  // that comes back.
  std::string SendInTwoParts(const std::string& bytes, absl::Duration pause) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(callers_.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)),
              0);
    const size_t first = bytes.size() - 2;
    EXPECT_EQ(send(fd, bytes.data(), first, MSG_NOSIGNAL),
              std::ssize(bytes) - 2);
    absl::SleepFor(pause);
    EXPECT_EQ(send(fd, bytes.data() + first, 2, MSG_NOSIGNAL), 2);
    std::string received;
    std::array<char, 4096> piece{};
    for (ssize_t count = 1; count > 0;) {
      count = recv(fd, piece.data(), piece.size(), 0);
      received.append(piece.data(),
                      static_cast<size_t>(std::max<ssize_t>(count, 0)));
    }
    close(fd);
    return received;
  }
};

// It was passed on, and cut with no answer when the time of the stop was over.
TEST_F(PlannedStopTest, OrderReadLate_IsRefusedAndNotPassedOn) {
  StartWithWork(absl::Milliseconds(2900));
  const std::string bytes = standins::CallerRequestBytes(
      {.id = "late", .path = "/order/a", .key = "k1"});
  auto received = std::async(std::launch::async, [&] {
    return SendInTwoParts(bytes, absl::Milliseconds(6500));
  });
  absl::SleepFor(absl::Milliseconds(200));
  Stop();
  EXPECT_THAT(received.get(), testing::StartsWith("HTTP/1.1 503"));
  EXPECT_EQ(RunsOfAll(), 0);
  ExpectExit();
}

// One that can end in time is served.
TEST_F(PlannedStopTest, OrderReadLateThatHasTime_IsServed) {
  StartWithWork(absl::Milliseconds(500));
  const std::string bytes =
      standins::CallerRequestBytes({.id = "late",
                                    .path = "/order/a",
                                    .key = "k1",
                                    .time_limit = absl::Milliseconds(1500)});
  auto received = std::async(std::launch::async, [&] {
    return SendInTwoParts(bytes, absl::Seconds(5));
  });
  absl::SleepFor(absl::Milliseconds(200));
  Stop();
  EXPECT_THAT(received.get(), testing::StartsWith("HTTP/1.1 200"));
  ExpectExit();
}

// They were cut with no answer.
TEST_F(PlannedStopTest, RequestsInWorkAtTheEnd_AreAnswered) {
  StartWithWork(absl::Seconds(12));
  auto before =
      std::async(std::launch::async, [&] { return StatusOf("/stream/a"); });
  absl::SleepFor(absl::Milliseconds(800));
  Stop();
  absl::SleepFor(absl::Milliseconds(1500));
  EXPECT_THAT(StatusOf("/stream/b"), testing::AnyOf(502, 504));
  EXPECT_THAT(before.get(), testing::AnyOf(502, 504));
  ExpectExit();
}

}  // namespace
}  // namespace hawthornhollow
