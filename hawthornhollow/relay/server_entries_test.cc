// Server entries of a store that comes back from an older copy.

#include "hawthornhollow/relay/server_entries.h"

#include <gtest/gtest.h>

#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace hawthornhollow {
namespace {

// An entry consists of a sequence and, for a server that is leaving, "leaving".
struct FakeMessageCodec {
  static constexpr std::string_view kConfigurationKey = "configuration";

  static std::optional<std::string> DecodeEvacuation(const StoredValue&) {
    return std::nullopt;
  }
  static absl::StatusOr<RelayServer> DecodeServer(const StoredValue& value) {
    const std::vector<std::string> words = absl::StrSplit(value.value, ' ');
    RelayServer server{.id = value.key, .leaving = words.size() > 1};
    if (!absl::SimpleAtoi(words[0], &server.revision.sequence))
      return absl::InvalidArgumentError("no sequence");
    return server;
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

class ServerEntriesTest : public testing::Test {
 protected:
  using Entries = std::vector<std::pair<std::string, std::string>>;

  void Read(double at, int64_t era, const Entries& entries) {
    std::map<std::string, StoredValue> records;
    for (const auto& [key, value] : entries)
      records[key] = {.key = key, .value = value, .offset = ++offset_};
    entries_.Update(records, era, absl::UnixEpoch() + absl::Seconds(at));
  }
  // As "key", or "key leaving".
  std::vector<std::string> Servers() const {
    std::vector<std::string> servers;
    for (const auto& [key, server] : entries_.servers())
      servers.push_back(absl::StrCat(key, server.leaving ? " leaving" : ""));
    return servers;
  }

  using Names = std::vector<std::string>;
  int rejected_ = 0;
  int64_t offset_ = 0;
  ServerEntries<FakeMessageCodec> entries_{
      ServerEntriesOptions(),
      [this](const StoredValue&, const absl::Status&) { ++rejected_; }};
};

TEST_F(ServerEntriesTest, ServerThatHadLeft_DoesNotComeBackWithARestore) {
  Read(0, 1, {{"a", "1"}, {"b", "1"}});
  Read(1, 1, {{"b", "1"}});
  Read(5, 2, {{"a", "1"}, {"b", "1"}});
  EXPECT_EQ(Servers(), Names({"b"}));
}

TEST_F(ServerEntriesTest, ServerThatIsLeaving_IsLeavingAfterARestore) {
  Read(0, 1, {{"a", "1"}});
  Read(1, 1, {{"a", "2 leaving"}});
  Read(5, 2, {{"a", "1"}});
  EXPECT_EQ(Servers(), Names({"a leaving"}));
}

TEST_F(ServerEntriesTest, EntryThatIsWrittenAgain_Holds) {
  Read(0, 1, {{"a", "1"}});
  Read(1, 1, {{"a", "2 leaving"}});
  Read(2, 1, {});
  Read(5, 2, {{"a", "1"}});
  EXPECT_EQ(Servers(), Names());
  Read(6, 2, {{"a", "3"}});
  EXPECT_EQ(Servers(), Names({"a"}));
}

// A server that registered after the copy was made writes the same again.
TEST_F(ServerEntriesTest, EntryThatWasLost_HoldsAsSoonAsItIsBack) {
  Read(0, 1, {{"a", "1"}, {"b", "4"}});
  Read(5, 2, {{"a", "1"}});
  EXPECT_EQ(Servers(), Names({"a"}));
  Read(6, 2, {{"a", "1"}, {"b", "4"}});
  EXPECT_EQ(Servers(), Names({"a", "b"}));
}

TEST_F(ServerEntriesTest, OlderEntryThatStays_IsBelievedInTheEnd) {
  Read(0, 1, {{"a", "7 leaving"}});
  Read(5, 2, {{"a", "1"}});
  EXPECT_EQ(Servers(), Names({"a leaving"}));
  const absl::Time due = entries_.next_change();
  Read(absl::ToDoubleSeconds(due - absl::UnixEpoch()), 2, {{"a", "1"}});
  EXPECT_EQ(Servers(), Names({"a"}));
  EXPECT_EQ(entries_.next_change(), absl::InfiniteFuture());
}

TEST_F(ServerEntriesTest, OlderEntryWithoutARestore_IsBelieved) {
  Read(0, 1, {{"a", "7 leaving"}});
  Read(1, 1, {{"a", "1"}});
  EXPECT_EQ(Servers(), Names({"a"}));
}

TEST_F(ServerEntriesTest, EntryThatCannotBeRead_CostsNoOther) {
  Read(0, 1, {{"a", "odd"}, {"b", "1"}});
  EXPECT_EQ(Servers(), Names({"b"}));
  EXPECT_EQ(rejected_, 1);
}

}  // namespace
}  // namespace hawthornhollow
