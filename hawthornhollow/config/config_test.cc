#include "hawthornhollow/config/config.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow {
namespace {

using ::testing::HasSubstr;
using ::testing::IsEmpty;
using ::testing::Not;
using namespace std::string_view_literals;

constexpr char kHash[] =
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

ConfigFiles ValidFiles() {
  return {
      {"10-members.json", R"([{"kind":"member","name":"lantern-works"},
        {"kind":"member","name":"hofmann"}])"},
      {"20-budgets.json",
       R"([{"kind":"budget","name":"permits","member":"lantern-works","tokens":500},
        {"kind":"budget","name":"rolls","member":"hofmann","tokens":700}])"},
      {"30-ranks.json",
       R"([{"kind":"rank","name":"urgent","order":0,"target_ms":1800,"floor":0.0},
        {"kind":"rank","name":"middling","order":1,"target_ms":6000,"floor":0.2}])"},
      {"40-callers.json",
       R"({"kind":"caller","name":"ward-7","member":"lantern-works",
        "budget":"permits","key_sha256":")" +
           Sha256Hex("ward-7-demo-key") + R"(","ranks":["middling","urgent"],
        "workspace":"permits","max_concurrent":8,"requests_per_second":2.5,
        "tokens_per_minute":60000})"},
      {"50-models.json",
       R"([{"kind":"model","name":"drafter","max_output_tokens":1024},
        {"kind":"service","name":"booking","tokens_per_call":50}])"},
      {"60-servers.json",
       R"([{"kind":"server","name":"engine-1","model":"drafter",
        "address":"127.0.0.1:7201","failure_domain":"patan","slots":16},
        {"kind":"server","name":"booking-1","service":"booking",
        "address":"127.0.0.1:7202","failure_domain":"thimi","slots":4,
        "state":"leaving"}])"},
  };
}

std::vector<std::string> MergeErrors(const ConfigFiles& files) {
  std::vector<ConfigError> errors;
  auto config = Configuration::Merge(files, &errors);
  EXPECT_EQ(config == nullptr, !errors.empty());
  std::vector<std::string> texts;
  for (const ConfigError& error : errors)
    texts.push_back(error.ToString());
  return texts;
}

TEST(ConfigurationTest, Merge_ValidFiles_GivesEveryObject) {
  auto config = Configuration::Merge(ValidFiles());
  ASSERT_TRUE(config.ok()) << config.status();
  const Configuration& c = **config;
  EXPECT_EQ(c.members().size(), 2u);
  EXPECT_EQ(*c.FindBudget("permits"),
            (Budget{"permits", "lantern-works", 500}));
  EXPECT_EQ(c.ranks().front().name, "urgent");
  EXPECT_EQ(c.FindRank("middling")->floor, 0.2);
  const Caller* caller = c.FindCallerByKey("ward-7-demo-key");
  ASSERT_NE(caller, nullptr);
  EXPECT_EQ(caller, c.FindCaller("ward-7"));
  EXPECT_EQ(caller->ranks, (std::vector<std::string>{"middling", "urgent"}));
  EXPECT_EQ(caller->requests_per_second, 2.5);
  EXPECT_EQ(c.FindCallerByKey("another-key"), nullptr);
  EXPECT_EQ(c.FindModel("drafter")->max_output_tokens, 1024);
  EXPECT_FALSE(c.FindService("booking")->repeatable);
  EXPECT_EQ(c.FindServer("engine-1")->state, ServerState::kServing);
  EXPECT_EQ(c.FindServer("booking-1")->state, ServerState::kLeaving);
  EXPECT_EQ(c.FindServer("engine-2"), nullptr);
  EXPECT_EQ(c.files(), ValidFiles());
}

TEST(ConfigurationTest, Merge_NoFiles_IsEmptyConfiguration) {
  EXPECT_THAT(MergeErrors({}), IsEmpty());
}

TEST(ConfigurationTest, Merge_LaterFile_ReplacesOnlyGivenFields) {
  ConfigFiles files = ValidFiles();
  files["70-topup.json"] = R"({"kind":"budget","name":"permits","tokens":900})";
  auto config = Configuration::Merge(files);
  ASSERT_TRUE(config.ok()) << config.status();
  EXPECT_EQ(*(*config)->FindBudget("permits"),
            (Budget{"permits", "lantern-works", 900}));
}

TEST(ConfigurationTest, Merge_WrongOverlay_NamesOverlaysFile) {
  ConfigFiles files = ValidFiles();
  files["70-topup.json"] = R"({"kind":"budget","name":"permits","tokens":-1})";
  EXPECT_THAT(MergeErrors(files),
              testing::ElementsAre(
                  "70-topup.json: budget[permits].tokens: must be a whole "
                  "number from 0 to 1000000000000 (found -1)"));
}

TEST(ConfigurationTest, Merge_SeveralErrors_ReportsAllAtOnce) {
  ConfigFiles files = ValidFiles();
  files["70-a.json"] = "{";
  files["71-b.json"] = R"({"kind":"bugdet","name":"x"})";
  files["72-c.json"] = R"({"kind":"member","name":"x","colour":"red"})";
  EXPECT_EQ(MergeErrors(files).size(), 3u);
}

struct ErrorCase {
  const char* name;
  // An added file, in which HASH stands for a valid key_sha256.
  const char* text;
  const char* error;  // part of the only error
};

class ConfigurationErrorTest : public testing::TestWithParam<ErrorCase> {};

TEST_P(ConfigurationErrorTest, Merge_AddedFile_IsRefusedNamingFieldAndReason) {
  ConfigFiles files = ValidFiles();
  std::string text = GetParam().text;
  if (size_t at = text.find("HASH"); at != std::string::npos)
    text.replace(at, 4, kHash);
  files["90-added.json"] = text;
  std::vector<std::string> errors = MergeErrors(files);
  ASSERT_EQ(errors.size(), 1u) << testing::PrintToString(errors);
  EXPECT_THAT(errors[0], HasSubstr(GetParam().error));
  EXPECT_THAT(errors[0], HasSubstr("90-added.json: "));
}

const ErrorCase kErrorCases[] = {
    {"NotJson", "{\n\"kind\":oops}", "line 2: not valid JSON"},
    {"Truncated", R"({"kind":"member")", "line 1: not valid JSON"},
    {"Empty", "", "not valid JSON"},
    {"TextAfterValue", R"({"kind":"member","name":"x"} y)",
     "not valid JSON: extra data"},
    {"TooDeep", "[[[[[[[[[[[[1]]]]]]]]]]]]", "not valid JSON"},
    {"FieldTwice",
     R"({"kind":"budget","name":"x","member":"hofmann","tokens":1,"tokens":9})",
     "tokens: given twice in one object"},
    {"NotAnObject", "7", "must be an object"},
    {"ItemNotAnObject", R"([{"kind":"member","name":"x"},"y"])",
     "[1]: must be an object"},
    {"NoKind", R"({"name":"x"})", "kind: is missing"},
    {"NoName", R"({"kind":"member"})", "name: is missing"},
    {"KindNotText", R"({"kind":3,"name":"x"})",
     "kind: must be a string (found 3)"},
    {"UnknownKind", R"({"kind":"bugdet","name":"x"})",
     "unknown kind; did you mean \"budget\"? (found \"bugdet\")"},
    {"UnknownKindFarFromAll", R"({"kind":"lantern","name":"x"})",
     "unknown kind; the kinds are: budget, caller"},
    {"BadName", R"({"kind":"member","name":"Ward 7"})",
     "name: must match [a-z0-9][a-z0-9._-]{0,63} (found \"Ward 7\")"},
    {"ObjectTwiceInFile",
     R"([{"kind":"member","name":"x"},{"kind":"member","name":"x"}])",
     "member[x]: given twice in one file"},
    {"UnknownField", R"({"kind":"budget","name":"permits","token":9})",
     "budget[permits].token: unknown field; did you mean \"tokens\"? (found "
     "9)"},
    {"UnknownFieldFarFromAll",
     R"({"kind":"budget","name":"permits","colour":"red"})",
     "unknown field; the fields are: member, tokens"},
    {"BudgetWithoutTokens",
     R"({"kind":"budget","name":"x","member":"hofmann"})",
     "budget[x].tokens: is missing"},
    {"TokensWithFraction", R"({"kind":"budget","name":"permits","tokens":1.5})",
     "must be a whole number"},
    {"TokensAsText", R"({"kind":"budget","name":"permits","tokens":"9"})",
     "must be a whole number"},
    {"TokensTooMany", R"({"kind":"budget","name":"permits","tokens":1e30})",
     "must be a whole number"},
    {"BudgetOfUnknownMember",
     R"({"kind":"budget","name":"x","member":"nobody","tokens":1})",
     "budget[x].member: no member is named \"nobody\""},
    {"FloorAboveOne", R"({"kind":"rank","name":"urgent","floor":1.1})",
     "rank[urgent].floor: must be a number from 0 to 1"},
    {"FloorNegative", R"({"kind":"rank","name":"urgent","floor":-0.1})",
     "rank[urgent].floor: must be a number from 0 to 1"},
    {"FloorsAddUpToMoreThanOne",
     R"({"kind":"rank","name":"last","order":9,"target_ms":1,"floor":0.9})",
     "rank[last].floor: the floors of all ranks add up to 1.1"},
    {"SameOrder", R"({"kind":"rank","name":"zulu","order":1,"target_ms":1})",
     "rank[zulu].order: rank \"middling\" has the same order"},
    {"OrderTooLarge", R"({"kind":"rank","name":"urgent","order":3000000000})",
     "rank[urgent].order: must be a whole number"},
    {"CallerOfUnknownMember",
     R"({"kind":"caller","name":"ward-7","member":"nobody"})",
     "caller[ward-7].member: no member is named"},
    {"CallerOfUnknownBudget",
     R"({"kind":"caller","name":"ward-7","budget":"nothing"})",
     "caller[ward-7].budget: no budget is named"},
    {"CallerOfAnothersBudget",
     R"({"kind":"caller","name":"ward-7","budget":"rolls"})",
     "belongs to member \"hofmann\", the caller to \"lantern-works\""},
    {"CallerOfUnknownRank",
     R"({"kind":"caller","name":"ward-7","ranks":["urgent","soon"]})",
     "caller[ward-7].ranks: no rank is named \"soon\""},
    {"CallerWithoutRank", R"({"kind":"caller","name":"ward-7","ranks":[]})",
     "must name at least one rank"},
    {"CallerWithRankTwice",
     R"({"kind":"caller","name":"ward-7","ranks":["urgent","urgent"]})",
     "names \"urgent\" twice"},
    {"RanksNotList", R"({"kind":"caller","name":"ward-7","ranks":"urgent"})",
     "must be an array of strings"},
    {"KeyNotHash", R"({"kind":"caller","name":"ward-7","key_sha256":"abc"})",
     "must be a SHA-256"},
    {"RateNotNumber",
     R"({"kind":"caller","name":"ward-7","requests_per_second":"many"})",
     "must be a number from 0"},
    {"ModelWithoutOutput",
     R"({"kind":"model","name":"drafter","max_output_tokens":0})",
     "must be a whole number from 1"},
    {"RepeatableNotFlag",
     R"({"kind":"service","name":"booking","repeatable":"no"})",
     "must be true or false"},
    {"ServerOfUnknownModel",
     R"({"kind":"server","name":"engine-1","model":"other"})",
     "server[engine-1].model: no model is named"},
    {"ServerOfBoth",
     R"({"kind":"server","name":"engine-1","service":"booking"})",
     "server[engine-1].service: must not be given together with \"model\""},
    {"ServerOfNeither",
     R"({"kind":"server","name":"x","address":"127.0.0.1:9","slots":1,
         "failure_domain":"patan"})",
     "server[x].model: one of \"model\" and \"service\" must be given"},
    {"AddressIsHostName",
     R"({"kind":"server","name":"engine-1","address":"engine-1:7201"})",
     "must be IP:PORT"},
    {"AddressWithoutPort",
     R"({"kind":"server","name":"engine-1","address":"127.0.0.1"})",
     "must be IP:PORT"},
    {"AddressPortTooLarge",
     R"({"kind":"server","name":"engine-1","address":"127.0.0.1:70000"})",
     "must be IP:PORT"},
    {"AddressPortZero",
     R"({"kind":"server","name":"engine-1","address":"127.0.0.1:0"})",
     "must be IP:PORT"},
    {"AddressTwice",
     R"({"kind":"server","name":"engine-1","address":"127.0.0.1:7202"})",
     "server[engine-1].address: server \"booking-1\" has the same address"},
    {"SlotsZero", R"({"kind":"server","name":"engine-1","slots":0})",
     "must be a whole number from 1"},
    {"UnknownState", R"({"kind":"server","name":"engine-1","state":"resting"})",
     "must be one of: serving, leaving (found \"resting\")"},
    {"KeyOfAnother",
     R"([{"kind":"caller","name":"ward-7","key_sha256":"HASH"},
         {"kind":"caller","name":"ward-8","member":"lantern-works",
          "budget":"permits","ranks":["urgent"],"key_sha256":
          "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}])",
     "caller[ward-8].key_sha256: caller \"ward-7\" has the same key"},
};

INSTANTIATE_TEST_SUITE_P(Cases,
                         ConfigurationErrorTest,
                         testing::ValuesIn(kErrorCases),
                         [](const auto& info) { return info.param.name; });

TEST(ConfigurationTest, Merge_LargeFile_IsRefused) {
  ConfigFiles files = {{"a.json", std::string(256 * 1024 + 1, ' ')}};
  EXPECT_THAT(MergeErrors(files),
              testing::ElementsAre("a.json: larger than 262144 bytes"));
}

TEST(ConfigurationTest, Merge_FileNameLeadingOutOfFolder_IsRefused) {
  for (const char* name : {"../a.json", "a/b.json", ".json", ".a.json", "a.txt",
                           "/a.json", "a b.json"}) {
    EXPECT_EQ(MergeErrors({{name, "[]"}}).size(), 1u) << name;
  }
}

// Bytes that mutations put in: JSON's own, a NUL, and invalid UTF-8.
constexpr std::string_view kBytes = "{}[]\",:0-9eE.\\u\x00\xff\n tfn"sv;
constexpr unsigned kSeeds = 3000;

// Makes up to 8 changes to `text`.
std::string Mutate(std::string text, std::mt19937& random) {
  int edits = 1 + static_cast<int>(random() % 8);
  for (int i = 0; i < edits && !text.empty(); ++i) {
    size_t at = random() % text.size();
    char byte = kBytes[random() % kBytes.size()];
    switch (random() % 4) {
      case 0:
        text[at] = byte;
        break;
      case 1:
        text.insert(text.begin() + at, byte);
        break;
      case 2:
        text.erase(at, 1 + random() % 5);
        break;
      default:
        text.insert(at, text.substr(random() % text.size(), 20));
        break;
    }
  }
  return text;
}

TEST(ConfigurationFuzzTest, Merge_MutatedFiles_EveryErrorNamesAFile) {
  size_t refused = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937 random(seed);
    ConfigFiles files = ValidFiles();
    auto mutated = std::next(files.begin(), random() % files.size());
    mutated->second = Mutate(mutated->second, random);
    std::vector<ConfigError> errors;
    auto config = Configuration::Merge(files, &errors);
    ASSERT_EQ(config == nullptr, !errors.empty()) << "seed " << seed;
    refused += errors.empty() ? 0 : 1;
    for (const ConfigError& error : errors) {
      ASSERT_TRUE(files.contains(error.file)) << "seed " << seed;
      ASSERT_THAT(error.reason, Not(IsEmpty())) << "seed " << seed;
    }
  }
  EXPECT_GT(refused, kSeeds / 2);
}

TEST(ChangesTest, DiffFiles_AddedEditedRemoved_ApplyGivesFolder) {
  ConfigFiles base = {{"a.json", "1"}, {"b.json", "2"}, {"c.json", "3"}};
  ConfigFiles folder = {{"a.json", "1"}, {"b.json", "9"}, {"d.json", "4"}};
  std::vector<FileChange> changes = DiffFiles(base, folder);
  EXPECT_EQ(changes,
            (std::vector<FileChange>{
                {"b.json", "9"}, {"c.json", std::nullopt}, {"d.json", "4"}}));
  EXPECT_EQ(ApplyChanges(base, changes), folder);
  EXPECT_THAT(DiffFiles(base, base), IsEmpty());
}

class FolderTest : public testing::Test {
 protected:
  void SetUp() override {
    folder_ = testing::TempDir() + "/folder-" + RandomId();
    std::filesystem::create_directory(folder_);
  }
  void TearDown() override { std::filesystem::remove_all(folder_); }

  void Write(const std::string& name, const std::string& text) {
    std::ofstream(folder_ + "/" + name) << text;
  }

  std::string folder_;
};

TEST_F(FolderTest, ReadFolder_JsonAndHiddenFiles_GivesJsonOnly) {
  Write("b.json", "{}");
  Write("a.json", "[]");
  Write(".hidden", "x");
  auto files = ReadFolder(folder_);
  ASSERT_TRUE(files.ok()) << files.status();
  EXPECT_EQ(*files, (ConfigFiles{{"a.json", "[]"}, {"b.json", "{}"}}));
}

TEST_F(FolderTest, ReadFolder_OtherNamesAndSubFolders_AreAllReported) {
  Write("notes.txt", "x");
  Write("big.json", std::string(256 * 1024 + 1, ' '));
  std::filesystem::create_directory(folder_ + "/old");
  auto files = ReadFolder(folder_);
  EXPECT_EQ(files.status().code(), absl::StatusCode::kInvalidArgument);
  std::string message(files.status().message());
  EXPECT_THAT(message, HasSubstr("notes.txt: only names"));
  EXPECT_THAT(message, HasSubstr("big.json: larger"));
  EXPECT_THAT(message, HasSubstr("old: sub-folders"));
}

TEST_F(FolderTest, ReadFolder_SubFolderAndBadFile_ReportsBoth) {
  std::filesystem::create_directory(folder_ + "/old");
  Write("a.json", R"({"kind":"member"})");
  const std::string message(ReadFolder(folder_).status().message());
  EXPECT_THAT(message, HasSubstr("old: sub-folders"));
  EXPECT_THAT(message, HasSubstr("a.json: name"));
}

TEST_F(FolderTest, ReadFolder_Missing_IsNotFoundWithItsName) {
  auto files = ReadFolder(folder_ + "/none");
  EXPECT_TRUE(absl::IsNotFound(files.status()));
  EXPECT_THAT(std::string(files.status().message()), HasSubstr("/none"));
}

TEST_F(FolderTest, ReadFile_MissingOrFolder_NamesIt) {
  EXPECT_TRUE(absl::IsNotFound(ReadFile(folder_ + "/none").status()));
  EXPECT_TRUE(absl::IsInvalidArgument(ReadFile(folder_).status()));
  Write("a.json", "text");
  EXPECT_EQ(ReadFile(folder_ + "/a.json").value(), "text");
}

}  // namespace
}  // namespace hawthornhollow
