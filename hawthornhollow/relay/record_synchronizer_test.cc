#include "hawthornhollow/relay/record_synchronizer.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>

namespace hawthornhollow {
namespace {

constexpr char kWorkspace[] = "ward-7";
constexpr int64_t kTotal = 60'000;

// An in-memory store whose calls fail as a test requests. Used on one thread.
class ScriptedStore {
 public:
  bool lose_next_put_answer = false;
  bool fail_next_read = false;

  int64_t era() const { return 0; }

  absl::StatusOr<StoredPage> Newest(StoreSubject /*subject*/,
                                    absl::Duration /*timeout*/) {
    return StoredPage{.end = end()};
  }
  absl::StatusOr<StoredPage> ReadFrom(StoreSubject /*subject*/,
                                      int64_t offset,
                                      absl::Duration /*timeout*/) {
    // Fails only the read that follows a refused put.
    if (end() > offset && std::exchange(fail_next_read, false))
      return absl::AbortedError("connection reset");
    StoredPage page{.end = end()};
    page.values.assign(authorities_.begin() + offset, authorities_.end());
    return page;
  }
  absl::StatusOr<int64_t> AppendAt(StoreSubject /*subject*/,
                                   const std::string& key,
                                   const std::string& value,
                                   int64_t at,
                                   absl::Duration /*timeout*/) {
    if (at != end())
      return absl::FailedPreconditionError("not the end");
    authorities_.push_back({.key = key, .value = value, .offset = end()});
    if (std::exchange(lose_next_put_answer, false))
      return absl::AbortedError("connection reset");
    return end();
  }
  absl::Status AppendNext(StoreSubject /*subject*/,
                          const std::string& /*key*/,
                          const std::string& /*value*/,
                          const WriterPosition& /*position*/,
                          absl::Duration /*timeout*/) {
    return absl::OkStatus();
  }

  int64_t end() const { return static_cast<int64_t>(authorities_.size()); }

 private:
  std::vector<StoredValue> authorities_;
};

class RecordSynchronizerTest : public testing::Test {
 protected:
  void SetUp() override {
    auto runtime = Runtime::Create({.threads = 1});
    ASSERT_TRUE(runtime.ok()) << runtime.status();
    runtime_ = *std::move(runtime);
    book_.SetTotal(kWorkspace, kTotal, BootTime());
  }

  // Runs the authority loop for `duration`.
  void RunAuthorityLoopFor(absl::Duration duration) {
    std::promise<void> done;
    runtime_->Spawn([&] {
      synchronizer_.RunAuthorityLoop(stop_);
      done.set_value();
    });
    absl::SleepFor(duration);
    stop_ = true;
    done.get_future().wait();
  }

  ScriptedStore store_;
  RelayMetrics metrics_;
  TotalsBook book_{{.router = "router-1", .boot = "boot-1"}};
  RecordSynchronizer<ScriptedStore> synchronizer_{
      store_,
      metrics_,
      {.interval = absl::Milliseconds(5), .retry_delay = absl::Milliseconds(5)},
      [](const std::string&) { return absl::UnavailableError("no routers"); },
      book_};
  std::unique_ptr<Runtime> runtime_;
  std::atomic<bool> stop_{false};
};

TEST_F(RecordSynchronizerTest,
       AnswersOfPutAndNextReadLost_RecordIsRecognizedAsOwn) {
  store_.lose_next_put_answer = true;
  store_.fail_next_read = true;
  RunAuthorityLoopFor(absl::Milliseconds(300));
  // The read that follows the refused put was made.
  EXPECT_FALSE(store_.fail_next_read);
  EXPECT_FALSE(book_.pending_authority().has_value());
  // If the record had been considered refused, another one would have been put.
  EXPECT_EQ(store_.end(), 1);
  EXPECT_FALSE(book_.NeedsAuthorityRecord(BootTime()));
}

}  // namespace
}  // namespace hawthornhollow
