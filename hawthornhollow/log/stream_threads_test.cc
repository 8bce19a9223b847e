#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include "boost/fiber/mutex.hpp"
#include "gtest/gtest.h"
#include "hawthornhollow/log/log.h"
#include "hawthornhollow/log/stream_testing.h"

namespace hawthornhollow {
namespace {

constexpr int kFibers = 24;
constexpr int kRecordsEach = 20;

// A log whose callers run on several threads.
class SharedLog {
 public:
  absl::StatusOr<int64_t> Append(const std::string& stream,
                                 std::string_view data) {
    std::lock_guard lock(mutex_);
    return log_.Append(stream, data);
  }
  absl::StatusOr<LogRead> Read(const std::string& stream,
                               int64_t from,
                               size_t max_entries,
                               absl::Duration wait) {
    Sleep(absl::Milliseconds(1));
    std::lock_guard lock(mutex_);
    return log_.Read(stream, from, max_entries, absl::ZeroDuration());
  }

 private:
  boost::fibers::mutex mutex_;
  FakeLog log_;
};

TEST(StreamThreadsTest, WaitApplied_FibersOfSeveralThreads_AllGetTheirVerdict) {
  SharedLog log;
  auto writer = StreamWriter<SharedLog>::Create(log, kStream, "w", {});
  auto follower =
      StreamFollower<ListFold, SharedLog>::Create(log, kStream, {}, {});
  follower->RegisterWriter(*writer);
  std::atomic<bool> stop = false;
  std::atomic<int> running = 2;
  std::atomic<int> accepted = 0;
  std::atomic<int> ended = 0;
  auto runtime = Runtime::Create({.threads = 3});
  ASSERT_TRUE(runtime.ok()) << runtime.status();
  (*runtime)->SpawnOn(0, [&] {
    writer->Run(stop);
    running--;
  });
  (*runtime)->SpawnOn(1, [&] {
    follower->Run(stop);
    running--;
  });
  for (int i = 0; i < kFibers; i++) {
    (*runtime)->Spawn([&] {
      for (int j = 0; j < kRecordsEach; j++) {
        auto sequence =
            writer->Append(RouterAliveRecord{"a"}, Urgency::kUrgent);
        auto verdict = follower->WaitApplied("w", sequence.value_or(-1), kSoon);
        accepted += verdict.ok() && verdict->record.sequence == *sequence;
      }
      ended++;
    });
  }
  const absl::Time deadline = absl::Now() + absl::Seconds(60);
  while (ended < kFibers && absl::Now() < deadline)
    absl::SleepFor(absl::Milliseconds(5));
  stop = true;
  while (running > 0 && absl::Now() < deadline)
    absl::SleepFor(absl::Milliseconds(5));
  (*runtime)->Stop();
  EXPECT_EQ(running, 0);
  EXPECT_EQ(accepted, kFibers * kRecordsEach);
  EXPECT_EQ(writer->stats().records, kFibers * kRecordsEach);
  EXPECT_LT(writer->stats().appends, kFibers * kRecordsEach / 2);
}

}  // namespace
}  // namespace hawthornhollow
