// Readers of a store that comes back from an older copy: offsets go back and
// are given out again.

#include "hawthornhollow/relay/record_reader.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "hawthornhollow/relay/keyed_follower.h"

namespace hawthornhollow {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(1);

class FakeStore {
 public:
  void Put(const std::string& key, const std::string& value) {
    log_.push_back(
        {.key = key, .value = value, .offset = static_cast<int64_t>(size())});
  }
  // Keeps the first `size` records.
  void Restore(size_t size) {
    log_.resize(size);
    ++era_;
  }
  // The restore is noticed only by the answer of the next call.
  void RestoreDuringNextCall(size_t size) { restore_to_ = size; }

  int64_t era() const { return era_; }
  absl::StatusOr<StoredPage> Newest(StoreSubject /*subject*/,
                                    absl::Duration /*timeout*/) {
    std::map<std::string, StoredValue> newest;
    for (const StoredValue& value : log_)
      newest[value.key] = value;
    StoredPage page{.end = static_cast<int64_t>(size())};
    for (const auto& [key, value] : newest)
      page.values.push_back(value);
    return page;
  }
  absl::StatusOr<StoredPage> ReadFrom(StoreSubject /*subject*/,
                                      int64_t offset,
                                      absl::Duration /*timeout*/) {
    if (restore_to_.has_value()) {
      Restore(*std::exchange(restore_to_, std::nullopt));
      return absl::AbortedError("another era");
    }
    if (static_cast<size_t>(offset) > size())
      return absl::OutOfRangeError("beyond the end");
    return StoredPage{.values = {log_.begin() + offset, log_.end()},
                      .end = static_cast<int64_t>(size())};
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
  size_t size() const { return log_.size(); }

  std::vector<StoredValue> log_;
  int64_t era_ = 1;
  std::optional<size_t> restore_to_;
};

class KeyedFollowerTest : public testing::Test {
 protected:
  void SetUp() override {
    store_.Put("a", "1");
    store_.Put("b", "1");
    store_.Put("b", "2");
    ASSERT_TRUE(follower_.Poll(kTimeout).ok());
  }
  std::string ValueOf(const std::string& key) const {
    const auto found = follower_.newest().find(key);
    return found == follower_.newest().end() ? "" : found->second.value;
  }

  FakeStore store_;
  KeyedFollower<FakeStore> follower_{store_, StoreSubject::kServers};
};

TEST_F(KeyedFollowerTest, RecordsOfARestoredStore_AreReadAnew) {
  store_.Restore(2);
  store_.Put("a", "3");
  ASSERT_TRUE(follower_.Poll(kTimeout).ok());
  EXPECT_EQ(ValueOf("a"), "3");
  EXPECT_EQ(ValueOf("b"), "1");
  EXPECT_EQ(follower_.position(), (StorePosition{.era = 2, .offset = 3}));
}

TEST_F(KeyedFollowerTest, TwoRestoresInARow_AreReadAnew) {
  store_.Restore(2);
  store_.Restore(1);
  ASSERT_TRUE(follower_.Poll(kTimeout).ok());
  EXPECT_EQ(ValueOf("b"), "");
  EXPECT_EQ(follower_.position(), (StorePosition{.era = 3, .offset = 1}));
}

TEST_F(KeyedFollowerTest, RestoreDuringARead_IsSeenByTheNextOne) {
  store_.RestoreDuringNextCall(1);
  EXPECT_FALSE(follower_.Poll(kTimeout).ok());
  EXPECT_EQ(ValueOf("b"), "2");
  ASSERT_TRUE(follower_.Poll(kTimeout).ok());
  EXPECT_EQ(ValueOf("b"), "");
}

// A router that is cut off from the store hears of the restore from another.
TEST_F(KeyedFollowerTest, RecordsOfALaterEra_ReplaceAll) {
  ASSERT_TRUE(follower_.Adopt({.era = 2, .offset = 1}, SteadyNow(), {"a"},
                              {{.key = "a", .value = "5", .offset = 0}}));
  EXPECT_EQ(ValueOf("a"), "5");
  EXPECT_EQ(ValueOf("b"), "");
}

TEST_F(KeyedFollowerTest, RecordsOfAnEarlierEra_AreNotTaken) {
  store_.Restore(1);
  ASSERT_TRUE(follower_.Poll(kTimeout).ok());
  EXPECT_FALSE(follower_.Adopt({.era = 1, .offset = 9}, SteadyNow(), {"b"},
                               {{.key = "b", .value = "9", .offset = 8}}));
  EXPECT_EQ(ValueOf("b"), "");
}

// The store's answers are late: others have told this router of a later era.
TEST_F(KeyedFollowerTest, PageOfAnEarlierEra_IsNotTaken) {
  ASSERT_TRUE(follower_.Adopt({.era = 2, .offset = 1}, SteadyNow(), {"a"},
                              {{.key = "a", .value = "5", .offset = 0}}));
  EXPECT_FALSE(follower_.Poll(kTimeout).ok());
  EXPECT_EQ(ValueOf("a"), "5");
  store_.Restore(1);
  ASSERT_TRUE(follower_.Poll(kTimeout).ok());
}

}  // namespace
}  // namespace hawthornhollow
