#include "hawthornhollow/relay/catalog_controller.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <future>
#include <map>
#include <memory>
#include <set>
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
  // An empty value deletes it.
  void PutEvacuation(const std::string& domain,
                     int64_t offset,
                     const std::string& value = "{}") {
    const std::string key = "evacuate/" + domain;
    evacuations_[key] = {.key = key, .value = value, .offset = offset};
  }
  void SetUnreachable(bool unreachable) { unreachable_ = unreachable; }
  int reads() const { return reads_; }
  // Comes back from an older copy that has these entries.
  void Restore(const std::vector<std::string>& keys) {
    log_.clear();
    evacuations_.clear();
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
      StoredPage page;
      if (configuration_.has_value())
        page.values.push_back(*configuration_);
      for (const auto& [key, record] : evacuations_)
        page.values.push_back(record);
      for (const StoredValue& record : page.values)
        page.end = std::max(page.end, record.offset + 1);
      return page;
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
  std::map<std::string, StoredValue> evacuations_;
  bool unreachable_ = false;
  int64_t era_ = 0;
  int reads_ = 0;
};

// An entry consists of the server's id. Counts the entries that are decoded.
struct FakeMessageCodec {
  static constexpr std::string_view kConfigurationKey = "configuration";
  static inline int decoded = 0;

  static std::optional<std::string> DecodeEvacuation(const StoredValue& value) {
    const std::string prefix = "evacuate/";
    if (!value.key.starts_with(prefix))
      return std::nullopt;
    return value.key.substr(prefix.size());
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
  static StoredValue Configuration(const std::string& value, int64_t offset) {
    return {.key = std::string(FakeMessageCodec::kConfigurationKey),
            .value = value,
            .offset = offset};
  }
  void AwaitEvacuated(const std::set<std::string>& domains) const {
    const absl::Time end = SteadyNow() + absl::Seconds(10);
    while (evacuated_ != domains && SteadyNow() < end)
      hawthornhollow::SleepFor(absl::Milliseconds(1));
    EXPECT_EQ(evacuated_, domains);
  }
  // Waits until the entries have been read `more` more times.
  void AwaitReads(int more) const {
    const int until = store_.reads() + more;
    while (store_.reads() < until)
      hawthornhollow::SleepFor(absl::Milliseconds(1));
  }

  FakeStore store_;
  std::vector<RelayServer> listed_;
  std::set<std::string> evacuated_;
  // When the configuration was first in force.
  std::set<std::string> evacuated_at_table_;
  std::vector<std::string> restored_;
  CatalogController<FakeStore, FakeMessageCodec> catalog_{
      store_,
      {.poll_interval = absl::Milliseconds(2),
       .retry_delay = absl::Milliseconds(2),
       .start_ask_time = absl::Milliseconds(30),
       .servers = {.outage_after = absl::Milliseconds(50),
                   .missing_entry_grace = absl::Milliseconds(100)}},
      {.on_table =
           [this](const std::shared_ptr<const RoutingTable>&) {
             evacuated_at_table_ = catalog_.evacuated_domains();
           },
       .on_servers = [this](const auto& servers) { listed_ = servers; },
       .on_evacuated = [this](const auto& domains) { evacuated_ = domains; },
       .on_domain_restored =
           [this](const std::string& domain, absl::Time /*at*/) {
             EXPECT_FALSE(evacuated_.contains(domain));
             restored_.push_back(domain);
           }}};
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

// Requests are sent once a configuration is known, so evacuations must be by
// then.
TEST_F(CatalogControllerTest, Evacuation_IsKnownWithTheFirstConfiguration) {
  store_.PutConfiguration(Configuration("3", 5));
  store_.PutEvacuation("a", 6);
  FollowConfiguration([&] { AwaitEvacuated({"a"}); });
  EXPECT_EQ(evacuated_at_table_, std::set<std::string>{"a"});
}

TEST_F(CatalogControllerTest, EvacuationThatEnds_IsForwardedAsRestored) {
  store_.PutConfiguration(Configuration("3", 5));
  FollowConfiguration([&] {
    hawthornhollow::SleepFor(absl::Milliseconds(20));
    store_.PutEvacuation("a", 6);
    store_.PutEvacuation("b", 7);
    AwaitEvacuated({"a", "b"});
    EXPECT_TRUE(restored_.empty());
    store_.PutEvacuation("a", 8, /*value=*/"");
    AwaitEvacuated({"b"});
  });
  EXPECT_EQ(restored_, std::vector<std::string>{"a"});
  EXPECT_EQ(catalog_.version_in_force(), 3);
}

TEST_F(CatalogControllerTest, StoreLostOrRestored_EvacuationStaysUntilDeleted) {
  store_.PutConfiguration(Configuration("3", 5));
  store_.PutEvacuation("a", 6);
  FollowConfiguration([&] {
    AwaitEvacuated({"a"});
    store_.SetUnreachable(true);
    hawthornhollow::SleepFor(absl::Milliseconds(50));
    EXPECT_TRUE(evacuated_.contains("a"));
    store_.Restore({});
    store_.SetUnreachable(false);
    hawthornhollow::SleepFor(absl::Milliseconds(50));
    EXPECT_TRUE(evacuated_.contains("a"));
    store_.PutEvacuation("a", 6, /*value=*/"");
    AwaitEvacuated({});
  });
  EXPECT_TRUE(evacuated_.empty());
}

TEST_F(CatalogControllerTest, EvacuationOfAnotherRouter_IsTakenAndReported) {
  const DomainEvacuation told{
      .domain = "a",
      .current = EvacuationRecord{.offset = 6, .is_evacuated = true}};
  catalog_.OfferEvacuations({.position = {.offset = 7},
                             .first_end = 5,
                             .era_began = SteadyNow(),
                             .read_at = SteadyNow(),
                             .domains = {told}});
  EXPECT_EQ(evacuated_, std::set<std::string>{"a"});
  ASSERT_TRUE(catalog_.ReportEvacuations().has_value());
  EXPECT_EQ(catalog_.ReportEvacuations()->domains.size(), 1);
}

// The store may have lost an evacuation that other routers know.
TEST_F(CatalogControllerTest, RouterThatStarts_ServesOnceOthersHadTimeToTell) {
  store_.PutConfiguration(Configuration("3", 5));
  FollowConfiguration([&] {
    while (catalog_.table() == nullptr)
      hawthornhollow::SleepFor(absl::Milliseconds(1));
    EXPECT_FALSE(catalog_.may_serve());
    const absl::Time read = SteadyNow();
    while (!catalog_.may_serve())
      hawthornhollow::SleepFor(absl::Milliseconds(1));
    EXPECT_GE(SteadyNow() - read, absl::Milliseconds(20));
  });
}

}  // namespace
}  // namespace hawthornhollow
