#include <map>
#include <string>
#include <vector>

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "hawthornhollow/ledger/ledger.h"
#include "hawthornhollow/ledger/ledger_testing.h"
#include "hawthornhollow/ledger/state.h"

namespace hawthornhollow {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;

constexpr uint64_t kSeeds = 200;
constexpr auto kKept = static_cast<int64_t>(ConfigFold::kMaxHistory);

// Returns the text of a valid configuration file that defines one member.
std::string MemberText(const std::string& name) {
  return R"({"kind":"member","name":")" + name + R"("})";
}

FileChange Put(const std::string& file, const std::string& member) {
  return FileChange{file, MemberText(member)};
}

FileChange Remove(const std::string& file) {
  return FileChange{file, std::nullopt};
}

class ConfigFoldTest : public testing::Test {
 protected:
  Verdict Publish(int64_t base, const std::vector<FileChange>& changes) {
    return PublishAs("id-" + std::to_string(++ids_), "binod", base, changes);
  }
  Verdict PublishAs(const std::string& id,
                    const std::string& operator_name,
                    int64_t base,
                    const std::vector<FileChange>& changes) {
    return feeder_.Apply(PublishRecord{id, operator_name, base, changes});
  }
  void ExpectRefused(const Verdict& verdict, const std::string& reason) {
    EXPECT_EQ(verdict.kind, VerdictKind::kRejected) << FormatVerdict(verdict);
    EXPECT_THAT(verdict.reason, HasSubstr(reason));
  }
  ConfigFold& fold() { return feeder_.fold; }
  std::string TextOf(const std::string& file) {
    const ConfigFiles& files = fold().configuration()->files();
    const auto it = files.find(file);
    return it == files.end() ? "" : it->second;
  }

  FoldFeeder<ConfigFold> feeder_;
  int ids_ = 0;
};

TEST_F(ConfigFoldTest, Publish_First_IsVersionOne) {
  EXPECT_EQ(fold().configuration(), nullptr);
  EXPECT_EQ(Publish(0, {Put("a.json", "x")}).amount, 1);
  EXPECT_EQ(fold().version(), 1);
  EXPECT_EQ(fold().configuration()->members().size(), 1u);
}

TEST_F(ConfigFoldTest, Publish_TwoOperatorsDifferentFiles_BothAccepted) {
  Publish(0, {Put("a.json", "x")});
  EXPECT_EQ(PublishAs("p", "binod", 1, {Put("b.json", "y")}).amount, 2);
  EXPECT_EQ(PublishAs("q", "sushila", 1, {Put("c.json", "z")}).amount, 3);
  EXPECT_EQ(fold().configuration()->files().size(), 3u);
}

TEST_F(ConfigFoldTest, Publish_TwoOperatorsSameFile_SecondConflicts) {
  Publish(0, {Put("a.json", "x")});
  PublishAs("p", "sushila", 1, {Put("a.json", "y")});
  ExpectRefused(
      PublishAs("q", "binod", 1, {Put("a.json", "z"), Put("b.json", "w")}),
      "conflict: a.json was changed by sushila in version 2");
  EXPECT_EQ(TextOf("a.json"), MemberText("y"));
  EXPECT_EQ(TextOf("b.json"), "");
}

TEST_F(ConfigFoldTest, Publish_FileChangedAndChangedBack_Conflicts) {
  Publish(0, {Put("a.json", "x")});
  Publish(1, {Put("a.json", "y")});
  Publish(2, {Put("a.json", "x")});
  ExpectRefused(Publish(1, {Put("a.json", "z")}), "in version 3");
}

TEST_F(ConfigFoldTest, Publish_FileRemovedSinceBase_Conflicts) {
  Publish(0, {Put("a.json", "x"), Put("b.json", "y")});
  Publish(1, {Remove("a.json")});
  ExpectRefused(Publish(1, {Put("a.json", "z")}), "conflict: a.json");
  EXPECT_EQ(Publish(1, {Put("b.json", "z")}).amount, 3);
  EXPECT_EQ(TextOf("a.json"), "");
}

TEST_F(ConfigFoldTest, Publish_SameTextFromStaleBase_AcceptsOtherChanges) {
  Publish(0, {Put("a.json", "x")});
  Publish(1, {Put("a.json", "y")});
  EXPECT_EQ(Publish(1, {Put("a.json", "y"), Put("b.json", "z")}).amount, 3);
  EXPECT_THAT(fold().history().back().files, ElementsAre("b.json"));
}

TEST_F(ConfigFoldTest, Publish_WithoutChange_IsRejected) {
  Publish(0, {Put("a.json", "x")});
  ExpectRefused(Publish(1, {Put("a.json", "x")}), "no change");
  ExpectRefused(Publish(1, {Remove("b.json")}), "no change");
  ExpectRefused(Publish(1, {}), "no change");
}

TEST_F(ConfigFoldTest, Publish_Malformed_IsRejected) {
  Publish(0, {Put("a.json", "x")});
  ExpectRefused(Publish(2, {Put("a.json", "y")}), "does not exist yet");
  ExpectRefused(Publish(-1, {Put("a.json", "y")}), "no longer kept");
  ExpectRefused(Publish(1, {Put("", "y")}), "without a file name");
  ExpectRefused(Publish(1, {Put("b.json", "y"), Put("b.json", "z")}), "twice");
  ExpectRefused(Publish(1, {FileChange{"b.json", "{"}}), "invalid: b.json");
  ExpectRefused(PublishAs("", "binod", 1, {Put("a.json", "y")}), "no id");
  ExpectRefused(feeder_.Apply(RouterOpenRecord{"r", "r", "patan"}),
                "not a record of this stream");
  EXPECT_EQ(fold().version(), 1);
}

TEST_F(ConfigFoldTest, Publish_AcceptedIdAgain_IsDuplicateWithItsVersion) {
  const PublishRecord publish{"p", "binod", 0, {Put("a.json", "x")}};
  feeder_.ApplyAs("w1", 1, publish);
  Publish(1, {Put("a.json", "y")});
  const Verdict again = feeder_.ApplyAs("w2", 1, publish);
  EXPECT_EQ(again.kind, VerdictKind::kDuplicate);
  EXPECT_EQ(again.amount, 1);
  EXPECT_EQ(TextOf("a.json"), MemberText("y"));
}

TEST_F(ConfigFoldTest, Publish_RejectedIdAgain_StaysRejected) {
  const PublishRecord early{"p", "binod", 1, {Put("a.json", "x")}};
  ExpectRefused(feeder_.ApplyAs("w1", 1, early), "does not exist yet");
  Publish(0, {Put("b.json", "y")});
  const Verdict again = feeder_.ApplyAs("w2", 1, early);
  EXPECT_EQ(again.kind, VerdictKind::kDuplicate);
  EXPECT_EQ(again.amount, 0);
  EXPECT_EQ(fold().version(), 1);
}

TEST_F(ConfigFoldTest, History_AboveLimit_KeepsFilesAndRejectsOldBases) {
  for (int64_t i = 0; i < kKept + 10; ++i)
    Publish(i, {Put("a.json", "m" + std::to_string(i + 1))});
  EXPECT_EQ(fold().history().size(), ConfigFold::kMaxHistory);
  ExpectRefused(Publish(9, {Put("b.json", "x")}), "no longer kept");
  EXPECT_FALSE(fold().FilesAt(9).ok());
  ConfigFold restored = *ConfigFold::Restore(fold().Serialize());
  for (const int64_t version : {int64_t{10}, kKept, kKept + 10}) {
    const ConfigFiles expected = {
        {"a.json", MemberText("m" + std::to_string(version))}};
    EXPECT_EQ(*fold().FilesAt(version), expected);
    EXPECT_EQ(*restored.FilesAt(version), expected);
  }
  EXPECT_EQ(Publish(10, {Put("b.json", "x")}).kind, VerdictKind::kAccepted);
}

TEST_F(ConfigFoldTest, Restore_CorruptBytes_IsDataLoss) {
  Publish(0, {Put("a.json", "x")});
  const std::string state = fold().Serialize();
  EXPECT_FALSE(ConfigFold::Restore("").ok());
  EXPECT_FALSE(ConfigFold::Restore(state.substr(0, state.size() / 2)).ok());
}

TEST_F(ConfigFoldTest, Restore_InconsistentVersions_IsDataLoss) {
  Publish(0, {Put("a.json", "x")});
  Publish(1, {Put("a.json", "y")});
  auto state = UnpackState<fb::ConfigStateT>(fold().Serialize());
  (*state)->version = 3;
  EXPECT_FALSE(ConfigFold::Restore(PackState(**state)).ok());
  (*state)->version = 2;
  EXPECT_TRUE(ConfigFold::Restore(PackState(**state)).ok());
  (*state)->history[0]->version = 2;
  EXPECT_FALSE(ConfigFold::Restore(PackState(**state)).ok());
}

// A slow reference for ConfigFold. It keeps all files of every version and
// compares them version by version.
class ConfigReference {
 public:
  RecordDecision Decide(const RecordBody& body, int64_t offset) {
    const auto* publish = std::get_if<PublishRecord>(&body);
    if (publish == nullptr)
      return RecordDecision{VerdictKind::kRejected, "", 0};
    const auto known = decisions_.find(publish->id);
    if (known != decisions_.end())
      return RecordDecision{VerdictKind::kDuplicate, "", known->second};
    const bool accepted = IsAcceptable(*publish);
    if (accepted)
      versions_.push_back(Merged(*publish));
    const int64_t version = accepted ? Version() : 0;
    decisions_[publish->id] = version;
    const auto kind =
        accepted ? VerdictKind::kAccepted : VerdictKind::kRejected;
    return RecordDecision{kind, "", version};
  }

  void Check(const ConfigFold& fold) const {
    ASSERT_EQ(fold.version(), Version());
    for (size_t version = 0; version < versions_.size(); ++version) {
      const auto number = static_cast<int64_t>(version);
      EXPECT_EQ(*fold.FilesAt(number), versions_[version]);
    }
    if (Version() > 0) {
      EXPECT_EQ(fold.configuration()->files(), versions_.back());
    }
  }

 private:
  int64_t Version() const { return static_cast<int64_t>(versions_.size()) - 1; }
  ConfigFiles Merged(const PublishRecord& publish) const {
    ConfigFiles files = versions_.back();
    for (const FileChange& change : publish.changes) {
      files.erase(change.file);
      if (change.text.has_value())
        files[change.file] = *change.text;
    }
    return files;
  }
  static std::string Text(const ConfigFiles& files, const std::string& file) {
    const auto it = files.find(file);
    return it == files.end() ? "absent" : it->second;
  }
  bool IsAcceptable(const PublishRecord& publish) const {
    if (publish.base_version < 0 || publish.base_version > Version())
      return false;
    const ConfigFiles merged = Merged(publish);
    for (const FileChange& change : publish.changes) {
      const std::string now = Text(versions_.back(), change.file);
      if (Text(merged, change.file) == now)
        continue;
      for (size_t v = publish.base_version + 1; v < versions_.size(); ++v) {
        if (Text(versions_[v], change.file) !=
            Text(versions_[v - 1], change.file))
          return false;
      }
    }
    return merged != versions_.back() && Configuration::Merge(merged).ok();
  }

  std::vector<ConfigFiles> versions_ = {{}};
  std::map<std::string, int64_t> decisions_;
};

RecordBody RandomConfigRecord(RandomSource& rng) {
  if (rng.OneIn(30))
    return RouterAliveRecord{"r"};
  PublishRecord publish{
      rng.NumberedName("id", 150), "binod", rng.Uniform(0, 12), {}};
  const std::string first = rng.NumberedName("f", 4);
  publish.changes.push_back(Put(first + ".json", rng.NumberedName("m", 3)));
  if (rng.OneIn(3))
    publish.changes[0].text = std::nullopt;
  if (rng.OneIn(15))
    publish.changes[0].text = "not json";
  if (rng.OneIn(2))
    publish.changes.push_back(
        Put("g" + first + ".json", rng.NumberedName("m", 3)));
  return publish;
}

TEST(ConfigFoldRandomTest, RandomStreams_MatchReference) {
  for (uint64_t seed = 1; seed <= kSeeds && !testing::Test::HasFailure();
       ++seed) {
    CompareWithReference<ConfigFold, ConfigReference>(seed, 60,
                                                      RandomConfigRecord);
  }
}

TEST(ConfigFoldRandomTest, CorruptCheckpoint_IsDataLossOrUsable) {
  RandomSource rng(1);
  ConfigFold fold;
  int64_t offset = 0;
  for (const Batch& batch : GenerateStream(rng, 80, RandomConfigRecord))
    fold.Apply(offset++, batch);
  ExpectCorruptionIsHarmless(fold, RandomConfigRecord);
}

}  // namespace
}  // namespace hawthornhollow
