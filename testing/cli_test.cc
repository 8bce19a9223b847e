// Runs the program's operator commands against the log stand-in.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <ostream>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "boost/json/parse.hpp"
#include "hawthornhollow/base/base.h"
#include "testing/processes.h"

namespace hawthornhollow {
namespace {

using ::testing::AllOf;
using ::testing::ContainsRegex;
using ::testing::HasSubstr;
using ::testing::StartsWith;

namespace fs = std::filesystem;

constexpr absl::Duration kCommandTimeout = absl::Seconds(20);
// Each takes at least as long as a command.
constexpr int kRouterTries = 200;

struct CommandResult {
  int exit_code = -1;
  std::string out;
  std::string err;
};

class CliTest : public testing::Test {
 protected:
  void SetUp() override {
    scratch_ = testing::TempDir() + "/cli-" + RandomId();
    fs::create_directory(scratch_);
    auto log = ReadyProcess::Start({STANDINS, "log", "--listen", "127.0.0.1:0"},
                                   scratch_ + "/log.err");
    ASSERT_TRUE(log.ok()) << log.status();
    log_.emplace(*std::move(log));
  }
  void TearDown() override { fs::remove_all(scratch_); }

  CommandResult Run(std::vector<std::string> arguments) {
    std::string err = scratch_ + "/" + RandomId() + ".err";
    arguments.insert(arguments.begin(), HAWTHORNHOLLOW);
    auto process = ChildProcess::Start(arguments, err);
    EXPECT_TRUE(process.ok()) << process.status();
    CommandResult result;
    auto line = (*process)->ReadLine(kCommandTimeout);
    for (; line.ok(); line = (*process)->ReadLine(kCommandTimeout))
      result.out += *line + "\n";
    result.exit_code = (*process)->Wait(kCommandTimeout).value_or(-1);
    result.err = Read(err);
    return result;
  }

  // As Run, with the stand-in's address.
  CommandResult RunWithLog(std::vector<std::string> arguments) {
    arguments.push_back("--log");
    arguments.push_back(log_->endpoint.ToString());
    return Run(std::move(arguments));
  }

  void Control(const std::string& body) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/control";
    request.body = body;
    auto response = PlainHttp(log_->endpoint, request, absl::Seconds(5));
    ASSERT_TRUE(response.ok()) << response.status();
    ASSERT_EQ(response->status, 200) << response->body;
  }

  std::string Folder(const std::string& name) { return scratch_ + "/" + name; }

  static std::string Read(const std::string& path) {
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
  }
  static void Write(const std::string& path, const std::string& text) {
    std::ofstream(path) << text;
  }

  // Publishes a first version and fetches it into two operators' folders.
  void FetchTwoFolders() {
    fs::copy(std::string(SOURCE_DIR) + "/examples/lantern-works",
             Folder("first"));
    CommandResult first = RunWithLog({"publish", Folder("first")});
    ASSERT_EQ(first.exit_code, 0) << first.out << first.err;
    ASSERT_EQ(RunWithLog({"fetch", Folder("a")}).exit_code, 0);
    ASSERT_EQ(RunWithLog({"fetch", Folder("b")}).exit_code, 0);
  }

  std::string scratch_;
  std::optional<ReadyProcess> log_;
};

constexpr const char* kCommands[] = {
    "router",   "sidecar", "check",  "fetch", "diff",  "publish", "history",
    "rollback", "status",  "budget", "bills", "audit", "explain", "key"};
constexpr char kTopUp[] =
    R"({"kind":"budget","name":"permits","tokens":70000000})";
constexpr char kOtherTopUp[] =
    R"({"kind":"budget","name":"permits","tokens":80000000})";

TEST_F(CliTest, Check_Examples_AreValid) {
  for (const char* member : {"lantern-works", "hofmann"}) {
    CommandResult result =
        Run({"check", std::string(SOURCE_DIR) + "/examples/" + member});
    EXPECT_EQ(result.exit_code, 0) << result.err;
    EXPECT_THAT(result.out, AllOf(StartsWith("ok: "), HasSubstr("10 callers"),
                                  HasSubstr("3 ranks")));
  }
}

TEST_F(CliTest, Check_WrongFolder_NamesFileFieldAndReason) {
  fs::create_directory(Folder("a"));
  Write(Folder("a") + "/x.json", R"({"kind":"rank","name":"urgent","ordr":1})");
  CommandResult result = Run({"check", Folder("a")});
  EXPECT_EQ(result.exit_code, 1);
  EXPECT_THAT(result.err,
              HasSubstr("hawthornhollow check: x.json: rank[urgent].ordr: "
                        "unknown field; did you mean \"order\"? (found 1)\n"));
}

TEST_F(CliTest, Publish_TwoOperatorsDifferentFiles_BothInForce) {
  FetchTwoFolders();
  Write(Folder("a") + "/70-topup.json", kTopUp);
  Write(Folder("b") + "/71-member.json", R"({"kind":"member","name":"other"})");
  EXPECT_THAT(RunWithLog({"publish", Folder("a")}).out,
              StartsWith("accepted version=2 id="));
  CommandResult second = RunWithLog({"publish", Folder("b")});
  EXPECT_THAT(second.out, StartsWith("accepted version=3 id="));
  // The colleague's file came into the folder, so publishing it again does not
  // remove it.
  EXPECT_EQ(Read(Folder("b") + "/70-topup.json"), kTopUp);
  EXPECT_THAT(RunWithLog({"publish", Folder("b")}).out,
              StartsWith("nothing to publish"));
  EXPECT_THAT(RunWithLog({"budget", "permits"}).out, HasSubstr("70000000"));
}

TEST_F(CliTest, Publish_TwoOperatorsSameFile_SecondIsConflict) {
  FetchTwoFolders();
  Write(Folder("a") + "/70-topup.json", kTopUp);
  Write(Folder("b") + "/70-topup.json", kOtherTopUp);
  EXPECT_EQ(
      RunWithLog({"publish", Folder("a"), "--operator", "binod"}).exit_code, 0);
  CommandResult second = RunWithLog({"publish", Folder("b")});
  EXPECT_EQ(second.exit_code, 1);
  EXPECT_EQ(second.out,
            "refused: conflict: 70-topup.json was changed by binod in version "
            "2\n");
  EXPECT_EQ(Read(Folder("b") + "/70-topup.json"), kOtherTopUp);
}

TEST_F(CliTest, Publish_FolderWithoutBase_DoesNotRemoveOthersFiles) {
  FetchTwoFolders();
  fs::create_directory(Folder("new"));
  Write(Folder("new") + "/80-member.json",
        R"({"kind":"member","name":"other"})");
  CommandResult result = RunWithLog({"publish", Folder("new")});
  EXPECT_EQ(result.exit_code, 0) << result.out;
  EXPECT_EQ(Read(Folder("new") + "/30-ranks.json"),
            Read(Folder("a") + "/30-ranks.json"));
}

TEST_F(CliTest, Publish_RepliesLost_IsAcceptedOnce) {
  FetchTwoFolders();
  Control(R"({"lose_replies":1.0})");
  Write(Folder("a") + "/70-topup.json", kTopUp);
  CommandResult result = RunWithLog({"publish", Folder("a")});
  EXPECT_THAT(result.out, StartsWith("accepted version=2 id="));
  Control(R"({"lose_replies":0})");
  CommandResult history = RunWithLog({"history"});
  EXPECT_THAT(history.out, testing::Not(ContainsRegex("\n +3  ")));
}

TEST_F(CliTest, Publish_AppendsHeld_IsUnknownAndResumeTellsTheOutcome) {
  FetchTwoFolders();
  Control(R"({"hold_appends":true})");
  Write(Folder("a") + "/70-topup.json", kTopUp);
  CommandResult result = RunWithLog({"publish", Folder("a"), "--timeout", "1"});
  EXPECT_EQ(result.exit_code, 3);
  ASSERT_THAT(result.out, StartsWith("unknown id="));
  std::string id = result.out.substr(std::string("unknown id=").size(), 16);
  EXPECT_THAT(result.out, HasSubstr("publish --resume " + id));
  CommandResult early = RunWithLog({"publish", "--resume", id, Folder("a")});
  EXPECT_EQ(early.exit_code, 3) << early.out;
  Control(R"({"hold_appends":false,"release":true})");
  CommandResult late = RunWithLog({"publish", "--resume", id, Folder("a")});
  EXPECT_EQ(late.exit_code, 0) << late.out;
  EXPECT_EQ(late.out, "accepted version=2 id=" + id + "\n");
  EXPECT_EQ(Read(Folder("a") + "/.hawthornhollow-base"), "{\"version\":2}\n");
}

TEST_F(CliTest, Diff_EditedFolders_ShowsChangesAndConflicts) {
  FetchTwoFolders();
  Write(Folder("a") + "/70-topup.json", kTopUp);
  ASSERT_EQ(
      RunWithLog({"publish", Folder("a"), "--operator", "binod"}).exit_code, 0);
  Write(Folder("b") + "/70-topup.json", kOtherTopUp);
  Write(Folder("b") + "/45-services.json", "[]");
  fs::remove(Folder("b") + "/62-callers-others.json");
  EXPECT_EQ(RunWithLog({"diff", Folder("b")}).out,
            "CHANGE   FILE                    NOTE\n"
            "edited   45-services.json\n"
            "removed  62-callers-others.json\n"
            "added    70-topup.json           conflict: changed by binod in "
            "version 2\n");
}

TEST_F(CliTest, ReadingCommands_Json_IsOneJsonTextPerLine) {
  FetchTwoFolders();
  for (const std::vector<std::string>& command :
       std::vector<std::vector<std::string>>{{"diff", Folder("a")},
                                             {"history"},
                                             {"status"},
                                             {"budget"},
                                             {"budget", "permits"},
                                             {"bills"},
                                             {"audit"}}) {
    std::vector<std::string> arguments = command;
    arguments.push_back("--json");
    CommandResult result = RunWithLog(arguments);
    EXPECT_EQ(result.exit_code, 0) << command[0];
    std::istringstream lines(result.out);
    size_t count = 0;
    for (std::string line; std::getline(lines, line); ++count) {
      boost::json::error_code error;
      boost::json::parse(line, error);
      EXPECT_FALSE(error) << line;
    }
    EXPECT_EQ(count, 1u) << command[0];
  }
}

TEST_F(CliTest, Fetch_FolderWithEdits_KeepsThemOrReportsConflict) {
  FetchTwoFolders();
  Write(Folder("a") + "/70-topup.json", kTopUp);
  ASSERT_EQ(RunWithLog({"publish", Folder("a")}).exit_code, 0);
  Write(Folder("b") + "/80-member.json", R"({"kind":"member","name":"other"})");
  EXPECT_EQ(RunWithLog({"fetch", Folder("b")}).exit_code, 0);
  EXPECT_TRUE(fs::exists(Folder("b") + "/80-member.json"));
  EXPECT_TRUE(fs::exists(Folder("b") + "/70-topup.json"));
  fs::remove(Folder("a") + "/70-topup.json");
  ASSERT_EQ(RunWithLog({"publish", Folder("a")}).exit_code, 0);
  Write(Folder("b") + "/70-topup.json", kOtherTopUp);
  CommandResult conflict = RunWithLog({"fetch", Folder("b")});
  EXPECT_EQ(conflict.exit_code, 1);
  EXPECT_THAT(conflict.err, HasSubstr("conflict: 70-topup.json"));
  EXPECT_EQ(RunWithLog({"fetch", "--discard", Folder("b")}).exit_code, 0);
  EXPECT_FALSE(fs::exists(Folder("b") + "/70-topup.json"));
}

TEST_F(CliTest, Rollback_EarlierVersion_IsPublishedAsNewVersion) {
  FetchTwoFolders();
  Write(Folder("a") + "/70-topup.json", kTopUp);
  ASSERT_EQ(RunWithLog({"publish", Folder("a")}).exit_code, 0);
  EXPECT_THAT(RunWithLog({"rollback", "1"}).out,
              StartsWith("accepted version=3 id="));
  EXPECT_THAT(RunWithLog({"budget", "permits"}).out, HasSubstr("60000000"));
  EXPECT_THAT(RunWithLog({"history"}).out, HasSubstr("70-topup.json"));
  EXPECT_EQ(RunWithLog({"rollback", "99"}).exit_code, 2);
}

TEST_F(CliTest, Audit_RefusedPublish_IsListedWithReason) {
  fs::create_directory(Folder("stale"));
  Write(Folder("stale") + "/.hawthornhollow-base", "{\"version\":5}");
  CommandResult result = RunWithLog({"publish", Folder("stale")});
  EXPECT_EQ(result.exit_code, 1);
  EXPECT_THAT(result.err, HasSubstr("fetch into a new folder"));
  FetchTwoFolders();
  EXPECT_EQ(RunWithLog({"rollback", "1"}).out, "refused: no change\n");
  EXPECT_THAT(RunWithLog({"audit", "--stream", "config"}).out,
              ContainsRegex("verdict=void .*reason=\"no change\""));
}

TEST_F(CliTest, Status_RouterDoesNotAnswer_IsShownAndExitsThree) {
  FetchTwoFolders();
  std::string address = "127.0.0.1:" + std::to_string(FreePort());
  CommandResult result = RunWithLog({"status", "--router", address});
  EXPECT_EQ(result.exit_code, 3);
  EXPECT_THAT(result.out,
              AllOf(StartsWith("version 1, published "),
                    HasSubstr("unreachable"), HasSubstr("lantern-works")));
}

TEST_F(CliTest, Status_RunningRouter_ShowsItsVersionAndState) {
  FetchTwoFolders();
  std::string address = "127.0.0.1:" + std::to_string(FreePort());
  Write(Folder("router.json"),
        R"({"name":"router-1","failure_domain":"patan","listen":")" + address +
            R"(","peer_listen":"127.0.0.1:0","log_service":")" +
            log_->endpoint.ToString() + "\"}");
  auto router = ChildProcess::Start(
      {HAWTHORNHOLLOW, "router", "--settings", Folder("router.json")},
      Folder("router.err"));
  ASSERT_TRUE(router.ok()) << router.status();
  CommandResult result;
  for (int i = 0; i < kRouterTries && result.exit_code != 0; ++i) {
    result = RunWithLog({"status", "--router", address});
    if (result.out.find(" current\n") == std::string::npos)
      result.exit_code = -1;
  }
  EXPECT_THAT(result.out, ContainsRegex("router-1 +1 +[0-9TZ:-]+ +[0-9]+ +"
                                        "current\n"));
  EXPECT_TRUE((*router)->Signal(SIGTERM).ok());
  EXPECT_EQ((*router)->Wait(kCommandTimeout).value_or(-1), 0);
}

TEST_F(CliTest, EveryCommand_Help_TeachesWithAnExample) {
  for (const char* command : kCommands) {
    CommandResult result = Run({command, "--help"});
    EXPECT_EQ(result.exit_code, 0) << command;
    EXPECT_THAT(
        result.out,
        AllOf(StartsWith(std::string("usage: hawthornhollow ") + command),
              HasSubstr("example:\n  $ "), HasSubstr("--help")));
    EXPECT_EQ(Run({"help", command}).out, result.out);
  }
}

// The long options that a command's help lists.
std::vector<std::string> OptionsOf(const std::string& help) {
  std::vector<std::string> options;
  std::istringstream lines(help);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("  --"))
      options.push_back(line.substr(2, line.find(' ', 2) - 2));
  }
  return options;
}

TEST_F(CliTest, EveryOption_HelpListsIt_CompletionAndPageDoToo) {
  std::string completion =
      Read(std::string(SOURCE_DIR) + "/tools/hawthornhollow.bash-completion");
  for (const char* command : kCommands) {
    std::string page =
        Read(std::string(SOURCE_DIR) + "/docs/cli/" + command + ".md");
    std::vector<std::string> options = OptionsOf(Run({command, "--help"}).out);
    EXPECT_FALSE(options.empty()) << command;
    EXPECT_THAT(completion, HasSubstr(command));
    for (const std::string& option : options) {
      EXPECT_THAT(completion, HasSubstr(option)) << command;
      EXPECT_THAT(page, HasSubstr(option)) << command;
    }
  }
}

struct UsageCase {
  const char* name;
  std::vector<std::string> arguments;
  int exit_code;
  const char* error;
};

// GoogleTest prints a parameter as part of the test's name.
void PrintTo(const UsageCase& usage_case, std::ostream* out) {
  *out << usage_case.name;
}

class CliUsageTest : public CliTest,
                     public testing::WithParamInterface<UsageCase> {};

TEST_P(CliUsageTest, Run_WrongUsage_IsOneClearLine) {
  CommandResult result = Run(GetParam().arguments);
  EXPECT_EQ(result.exit_code, GetParam().exit_code);
  EXPECT_THAT(result.err, HasSubstr(GetParam().error));
  EXPECT_EQ(std::count(result.err.begin(), result.err.end(), '\n'), 1)
      << result.err;
  EXPECT_EQ(result.out, "");
}

const UsageCase kUsageCases[] = {
    {"UnknownCommand", {"publsh"}, 2, "unknown command \"publsh\""},
    {"UnknownFlag", {"check", "--colour", "x"}, 2, "--colour: unknown option"},
    {"NoFolder", {"check"}, 2, "FOLDER is missing"},
    {"TwoFolders", {"check", "a", "b"}, 2, "unexpected argument \"b\""},
    {"MissingFolder", {"check", "/nonexistent"}, 2, "/nonexistent: no such"},
    {"FlagWithoutValue", {"history", "--log"}, 2, "--log: missing argument"},
    {"LogIsHostName",
     {"history", "--log", "log:7001"},
     2,
     "--log: must be IP:PORT with an IP number (found \"log:7001\")"},
    {"TimeoutZero",
     {"history", "--timeout", "0"},
     2,
     "--timeout: must be a whole number from 1 to 600 (found \"0\")"},
    {"RollbackToText", {"rollback", "last"}, 2, "VERSION: must be"},
    {"NoSettings", {"router"}, 2, "--settings: is missing"},
    {"ExplainWithoutFiles", {"explain", "a1"}, 2, "explain"},
    {"ExplainMissingLog",
     {"explain", "a1", "/nonexistent.log"},
     2,
     "/nonexistent.log: cannot be opened"},
    {"MissingSettings",
     {"sidecar", "--settings", "/nonexistent.json"},
     2,
     "/nonexistent.json: no such file"},
};

INSTANTIATE_TEST_SUITE_P(Cases,
                         CliUsageTest,
                         testing::ValuesIn(kUsageCases),
                         [](const auto& info) { return info.param.name; });

TEST_F(CliTest, Explain_LogsOfTwoRouters_ShowsTheRequestsLinesAndSummary) {
  const std::string first = Folder("a.log");
  const std::string second = Folder("b.log");
  Write(first,
        "time=2 level=INFO process=entry-1 event=request.end request=a1 "
        "outcome=answered status=200 took_ms=5\n"
        "time=3 level=INFO process=entry-1 event=request.end request=a2\n");
  Write(second, "time=1 process=entry-2 event=request.placed request=a1\n");
  CommandResult result = Run({"explain", "a1", first, second});
  EXPECT_EQ(result.exit_code, 0) << result.err;
  EXPECT_THAT(result.out, StartsWith("time=1 "));
  EXPECT_THAT(result.out, Not(HasSubstr("a2")));
  EXPECT_THAT(result.out,
              HasSubstr("request a1 was answered (answered, status 200) after "
                        "5 ms at entry-1\n"));
  EXPECT_EQ(Run({"explain", "a9", first}).exit_code, 1);
}

TEST_F(CliTest, Router_WrongSettings_NamesFileFieldAndReason) {
  std::string file = Folder("router.json");
  Write(file, R"({"name":"router-1","failure_domain":"patan",
      "listen":"127.0.0.1:0","peer_listen":"127.0.0.1:0",
      "log_service":"127.0.0.1:7001","thread":2})");
  CommandResult result = Run({"router", "--settings", file});
  EXPECT_EQ(result.exit_code, 2);
  EXPECT_EQ(result.err, "hawthornhollow router: " + file +
                            ": thread: unknown field; did you mean "
                            "\"threads\"? (found 2)\n");
}

TEST_F(CliTest, History_LogUnreachable_ExitsThree) {
  std::string address = "127.0.0.1:" + std::to_string(FreePort());
  CommandResult result = Run({"history", "--log", address, "--timeout", "1"});
  EXPECT_EQ(result.exit_code, 3);
  EXPECT_THAT(result.err, HasSubstr("Connection refused"));
}

}  // namespace
}  // namespace hawthornhollow
