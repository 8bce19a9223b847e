#include "hawthornhollow/cli/work_folder.h"

#include <filesystem>
#include <fstream>

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

using ::testing::HasSubstr;

class WorkFolderTest : public testing::Test {
 protected:
  void SetUp() override {
    path_ = testing::TempDir() + "/work-" + RandomId();
    std::filesystem::create_directory(path_);
  }
  void TearDown() override { std::filesystem::remove_all(path_); }

  void Write(const std::string& file, const std::string& text) {
    std::ofstream(path_ + "/" + file) << text;
  }

  std::string path_;
};

TEST_F(WorkFolderTest, Read_WithoutBase_HasBaseZero) {
  Write("a.json", "1");
  auto folder = WorkFolder::Read(path_);
  ASSERT_TRUE(folder.ok()) << folder.status();
  EXPECT_FALSE(folder->has_base);
  EXPECT_EQ(folder->base_version, 0);
}

TEST_F(WorkFolderTest, Read_MalformedBase_NamesFileAndField) {
  for (const char* text : {"", "{", "[]", "{\"version\":\"1\"}",
                           "{\"version\":-1}", "{\"versio\":1}"}) {
    Write(".hawthornhollow-base", text);
    auto folder = WorkFolder::Read(path_);
    EXPECT_TRUE(absl::IsInvalidArgument(folder.status())) << text;
    EXPECT_THAT(std::string(folder.status().message()),
                HasSubstr(".hawthornhollow-base: version: "));
  }
}

// One file's text at the base, in the folder and at the target; null is absent.
struct SyncCase {
  const char* name;
  const char* base;
  const char* folder;
  const char* target;
  bool published;
  LocalEdits edits;
  // The file afterwards, or "conflict".
  const char* after;
};

class SyncFolderTest : public WorkFolderTest,
                       public testing::WithParamInterface<SyncCase> {};

ConfigFiles FilesWith(const char* text) {
  if (text == nullptr)
    return {};
  return {{"a.json", text}};
}

TEST_P(SyncFolderTest, SyncFolder_OneFile_IsMergedFromBothSides) {
  const SyncCase& c = GetParam();
  if (c.folder != nullptr)
    Write("a.json", c.folder);
  Write(".hawthornhollow-base", "{\"version\":3}");
  auto folder = WorkFolder::Read(path_);
  ASSERT_TRUE(folder.ok()) << folder.status();
  std::set<std::string> published;
  if (c.published)
    published.insert("a.json");
  auto taken = SyncFolder(*folder, FilesWith(c.base), {7, FilesWith(c.target)},
                          published, c.edits);
  bool conflict = c.after != nullptr && std::string(c.after) == "conflict";
  EXPECT_EQ(taken.status().code(),
            conflict ? absl::StatusCode::kAborted : absl::StatusCode::kOk);
  auto after = WorkFolder::Read(path_);
  ASSERT_TRUE(after.ok()) << after.status();
  EXPECT_EQ(after->files, FilesWith(conflict ? c.folder : c.after));
  EXPECT_EQ(after->base_version, conflict ? 3 : 7);
}

constexpr LocalEdits kKeep = LocalEdits::kKeep;
constexpr LocalEdits kDiscard = LocalEdits::kDiscard;

const SyncCase kSyncCases[] = {
    {"Unchanged", "1", "1", "1", false, kKeep, "1"},
    {"AddedByColleague", nullptr, nullptr, "2", false, kKeep, "2"},
    {"EditedByColleague", "1", "1", "2", false, kKeep, "2"},
    {"RemovedByColleague", "1", "1", nullptr, false, kKeep, nullptr},
    {"EditedHere", "1", "2", "1", false, kKeep, "2"},
    {"RemovedHere", "1", nullptr, "1", false, kKeep, nullptr},
    {"AddedHere", nullptr, "2", nullptr, false, kKeep, "2"},
    {"SameOnBothSides", "1", "2", "2", false, kKeep, "2"},
    {"EditedOnBothSides", "1", "2", "3", false, kKeep, "conflict"},
    {"EditedHereRemovedThere", "1", "2", nullptr, false, kKeep, "conflict"},
    {"RemovedHereEditedThere", "1", nullptr, "3", false, kKeep, "conflict"},
    {"PublishedThenEditedHere", "1", "3", "2", true, kKeep, "3"},
    {"EditedOnBothSidesDiscarded", "1", "2", "3", false, kDiscard, "3"},
    {"AddedHereDiscarded", nullptr, "2", nullptr, false, kDiscard, nullptr},
};

INSTANTIATE_TEST_SUITE_P(Cases,
                         SyncFolderTest,
                         testing::ValuesIn(kSyncCases),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace hawthornhollow
