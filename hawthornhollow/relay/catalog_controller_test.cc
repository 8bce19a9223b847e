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
  void PutConfiguration(const StoredValue& record) { configuration_ = record; }
  void SetUnreachable(bool unreachable) { unreachable_ = unreachable; }
  int reads() const { return reads_; }
  // Comes back from an older copy that has these entries.
  void Restore(const std::vector<std::string>& keys) {
    log_.clear();
    ++era_;
    for (const std::string& key : keys)
      PutServer(key, key);
  }
  int64_t era() const { return era_; }

  absl::StatusOr<StoredPage> Newest(StoreSubject subject,
                                    absl::Duration /*timeout*/) {
    return ReadFrom(subject, 0, {});
  }
  absl::StatusOr<StoredPage> ReadFrom(StoreSubject subject,
                                      int64_t offset,
                                      absl::Duration /*timeout*/) {
    if (unreachable_)
      return absl::UnavailableError("away");
    if (subject == StoreSubject::kConfiguration) {
      return configuration_.has_value()
                 ? StoredPage{.values = {*configuration_},
                              .end = configuration_->offset + 1}
                 : StoredPage();
    }
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
  std::optional<StoredValue> configuration_;
  bool unreachable_ = false;
  int64_t era_ = 0;
  int reads_ = 0;
};

// An entry consists of the server's id. Counts the entries that are decoded.
struct FakeMessageCodec {
  static constexpr std::string_view kConfigurationKey = "configuration";
  static inline int decoded = 0;

  static std::optional<std::string> DecodeEvacuation(const StoredValue&) {
    return std::nullopt;
  }
  static absl::StatusOr<RelayServer> DecodeServer(const StoredValue& value) {
    ++decoded;
    return RelayServer{.id = value.value};
  }
  static absl::StatusOr<std::shared_ptr<const RoutingTable>>
  DecodeConfiguration(const StoredValue& value) {
    return RoutingTable::Create({.version = std::stoll(value.value)});
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
    RunBeside([this](const auto& stop) { catalog_.FollowServers(stop); }, task);
  }
  // The same for the configuration.
  void FollowConfiguration(const std::function<void()>& task) {
    RunBeside([this](const auto& stop) { catalog_.FollowConfiguration(stop); },
              task);
  }
  void RunBeside(const std::function<void(const std::atomic<bool>&)>& follow,
                 const std::function<void()>& task) {
    std::promise<void> ended;
    runtime_->Spawn([&] {
      std::atomic<bool> stop = false;
      bool stopped = false;
      runtime_->Spawn([&] {
        follow(stop);
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
       .servers = {.outage_after = absl::Milliseconds(50),
                   .missing_entry_grace = absl::Milliseconds(100)}},
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

// An entry that was there after the outage did not expire during it.
TEST_F(CatalogControllerTest, EntryRemovedAfterOutage_IsGoneAtOnce) {
  Follow([&] {
    AwaitReads(2);
    store_.SetUnreachable(true);
    hawthornhollow::SleepFor(absl::Milliseconds(80));
    store_.SetUnreachable(false);
    AwaitReads(2);
    store_.PutServer("key-1", "");
    AwaitReads(2);
    EXPECT_EQ(listed_.size(), kServers - 1);
  });
}

// A router that cannot read the store takes newer configurations from others,
// but none before it has read one itself: nobody may know what is current.
TEST_F(CatalogControllerTest, ConfigurationOfAnotherRouter_IsTakenIfItIsNewer) {
  const auto record = [](int64_t version, int64_t offset) {
    return StoredValue{.key = std::string(FakeMessageCodec::kConfigurationKey),
                       .value = std::to_string(version),
                       .offset = offset};
  };
  catalog_.OfferConfiguration(record(4, 10));
  EXPECT_EQ(catalog_.table(), nullptr);
  store_.PutConfiguration(record(3, 5));
  FollowConfiguration([&] {
    while (catalog_.table() == nullptr)
      hawthornhollow::SleepFor(absl::Milliseconds(1));
  });
  ASSERT_EQ(catalog_.table()->version(), 3);
  const struct {
    StoredValue offered;
    int64_t in_force;
  } cases[] = {{record(2, 4), 3},   // older
               {record(4, 10), 4},  // newer
               {record(3, 5), 4},   // older by now
               // Versions never decrease, whatever the offset.
               {record(3, 11), 4},
               {{.key = "another", .value = "9", .offset = 20}, 4}};
  for (const auto& [offered, in_force] : cases) {
    catalog_.OfferConfiguration(offered);
    EXPECT_EQ(catalog_.table()->version(), in_force);
  }
}

// The store comes back from an older copy, and the operator writes the lost
// version again, perhaps with other content.
TEST_F(CatalogControllerTest, ConfigurationThatWasLost_IsTakenAgainNotOlder) {
  const auto record = [](const std::string& value, int64_t offset) {
    return StoredValue{.key = std::string(FakeMessageCodec::kConfigurationKey),
                       .value = value,
                       .offset = offset};
  };
  store_.PutConfiguration(record("3", 5));
  FollowConfiguration([&] {
    while (catalog_.version_in_force() != 3)
      hawthornhollow::SleepFor(absl::Milliseconds(1));
    store_.Restore({});
    store_.PutConfiguration(record("2", 4));
    hawthornhollow::SleepFor(absl::Milliseconds(50));
    EXPECT_EQ(catalog_.version_in_force(), 3);
    EXPECT_TRUE(catalog_.may_have_older_configuration());
    store_.PutConfiguration(record("3 anew", 5));
    hawthornhollow::SleepFor(absl::Milliseconds(50));
    EXPECT_EQ(catalog_.ConfigurationAfter(2)->value, "3 anew");
    store_.PutConfiguration(record("4", 6));
    hawthornhollow::SleepFor(absl::Milliseconds(50));
    EXPECT_EQ(catalog_.version_in_force(), 4);
  });
}

}  // namespace
}  // namespace hawthornhollow
