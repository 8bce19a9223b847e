#include "hawthornhollow/relay/catalog_controller.h"

#include <gtest/gtest.h>

#include <future>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {
namespace {

// An in-memory store of server entries, used on one runtime thread.
class FakeStore {
 public:
  void PutServer(const std::string& key, const std::string& value) {
    log_.push_back({.key = key, .value = value, .offset = end()});
  }
  void SetUnreachable(bool unreachable) { unreachable_ = unreachable; }
  int reads() const { return reads_; }

  absl::StatusOr<StoredPage> Newest(StoreSubject subject,
                                    absl::Duration /*timeout*/) {
    return ReadFrom(subject, 0, {});
  }
  absl::StatusOr<StoredPage> ReadFrom(StoreSubject subject,
                                      int64_t offset,
                                      absl::Duration /*timeout*/) {
    if (unreachable_)
      return absl::UnavailableError("away");
    if (subject != StoreSubject::kServers)
      return StoredPage();
    ++reads_;
    return StoredPage{.values = {log_.begin() + offset, log_.end()},
                      .end = end()};
  }
  absl::StatusOr<int64_t> AppendAt(StoreSubject,
                                   const std::string&,
                                   const std::string&,
                                   int64_t,
                                   absl::Duration) {
    return absl::UnimplementedError("not used");
  }
  absl::Status AppendNext(StoreSubject,
                          const std::string&,
                          const std::string&,
                          const WriterPosition&,
                          absl::Duration) {
    return absl::UnimplementedError("not used");
  }

 private:
  int64_t end() const { return static_cast<int64_t>(log_.size()); }

  std::vector<StoredValue> log_;
  bool unreachable_ = false;
  int reads_ = 0;
};

// An entry consists of the server's id. Counts the entries that are decoded.
struct FakeMessageCodec {
  static constexpr std::string_view kConfigurationKey = "configuration";
  static inline int decoded = 0;

  static absl::StatusOr<RelayServer> DecodeServer(const StoredValue& value) {
    ++decoded;
    return RelayServer{.id = value.value};
  }
  static absl::StatusOr<std::shared_ptr<const RoutingTable>>
  DecodeConfiguration(const StoredValue&) {
    return absl::UnimplementedError("not used");
  }
  static absl::StatusOr<RelayCall> DecodeCall(const HttpRequest&) {
    return absl::UnimplementedError("not used");
  }
  static HttpRequest EncodeAttempt(const HttpRequest& request,
                                   const RelayAttempt&) {
    return request;
  }
  static ReplyHead DecodeReply(const HttpHead&) { return {}; }
  static HttpResponse EncodeRefusal(const RelayCall&,
                                    RelayError,
                                    absl::Duration) {
    return {};
  }
};

class CatalogControllerTest : public testing::Test {
 protected:
  static constexpr int kServers = 200;

  void SetUp() override {
    auto runtime = Runtime::Create({.threads = 1});
    ASSERT_TRUE(runtime.ok()) << runtime.status();
    runtime_ = *std::move(runtime);
    FakeMessageCodec::decoded = 0;
    for (int i = 0; i < kServers; ++i)
      store_.PutServer(absl::StrCat("key-", i), absl::StrCat("server-", i));
  }

  // Polls the servers while `task` runs on another fiber of the same thread.
  void Follow(const std::function<void()>& task) {
    std::promise<void> ended;
    runtime_->Spawn([&] {
      std::atomic<bool> stop = false;
      bool stopped = false;
      runtime_->Spawn([&] {
        catalog_.FollowServers(stop);
        stopped = true;
      });
      task();
      stop = true;
      while (!stopped)
        hawthornhollow::SleepFor(absl::Milliseconds(1));
      ended.set_value();
    });
    ended.get_future().wait();
  }
  // Waits until the entries have been read `more` more times.
  void AwaitReads(int more) const {
    const int until = store_.reads() + more;
    while (store_.reads() < until)
      hawthornhollow::SleepFor(absl::Milliseconds(1));
  }

  FakeStore store_;
  std::vector<RelayServer> listed_;
  CatalogController<FakeStore, FakeMessageCodec> catalog_{
      store_,
      {.poll_interval = absl::Milliseconds(2),
       .retry_delay = absl::Milliseconds(2),
       .outage_after = absl::Milliseconds(50),
       .missing_entry_grace = absl::Milliseconds(100)},
      {.on_table = [](const std::shared_ptr<const RoutingTable>&) {},
       .on_servers = [this](const auto& servers) { listed_ = servers; }}};
  std::unique_ptr<Runtime> runtime_;
};

TEST_F(CatalogControllerTest, EntriesThatDidNotChange_AreDecodedOnce) {
  Follow([&] { AwaitReads(20); });
  EXPECT_EQ(listed_.size(), kServers);
  EXPECT_EQ(FakeMessageCodec::decoded, kServers);
}

TEST_F(CatalogControllerTest,
       ChangedNewAndDeletedEntries_AreReflectedInTheList) {
  Follow([&] {
    AwaitReads(2);
    store_.PutServer("key-0", "server-0-moved");
    store_.PutServer("key-new", "server-new");
    store_.PutServer("key-1", "");
    AwaitReads(2);
  });
  EXPECT_EQ(FakeMessageCodec::decoded, kServers + 2);
  std::vector<std::string> ids;
  for (const RelayServer& server : listed_)
    ids.push_back(server.id);
  EXPECT_EQ(std::ranges::count(ids, "server-0-moved"), 1);
  EXPECT_EQ(std::ranges::count(ids, "server-new"), 1);
  EXPECT_EQ(std::ranges::count(ids, "server-0"), 0);
  EXPECT_EQ(std::ranges::count(ids, "server-1"), 0);
  EXPECT_EQ(ids.size(), kServers);
}

TEST_F(CatalogControllerTest,
       EntryMissingAfterOutage_IsKeptForTheGracePeriodOnly) {
  Follow([&] {
    AwaitReads(2);
    store_.SetUnreachable(true);
    hawthornhollow::SleepFor(absl::Milliseconds(80));
    store_.PutServer("key-1", "");
    store_.SetUnreachable(false);
    AwaitReads(2);
    EXPECT_EQ(listed_.size(), kServers);
    hawthornhollow::SleepFor(absl::Milliseconds(150));
    EXPECT_EQ(listed_.size(), kServers - 1);
  });
}

}  // namespace
}  // namespace hawthornhollow
