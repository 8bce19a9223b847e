// Billing and refusals while the log is down, slow, forgetful or short of
// retention, with real processes.

#include <signal.h>

#include <algorithm>
#include <boost/json.hpp>
#include <iostream>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "testing/fleet.h"
#include "testing/fleet_load.h"
#include "testing/ledger_audit.h"

namespace hawthornhollow {
namespace {

using ::testing::IsEmpty;

constexpr absl::Duration kSettle = absl::Seconds(10);

class LogFaultsTest : public ::testing::Test {
 protected:
  void StartFleet(FleetOptions options) {
    options.engine_flags = {"--token-ms", "0", "--prefill-ms-per-1k", "0"};
    auto fleet = Fleet::Start(options);
    ASSERT_TRUE(fleet.ok()) << fleet.status();
    fleet_ = std::move(*fleet);
    audit_ = std::make_unique<LedgerAudit>(fleet_->log());
  }

  void SetLog(const std::string& json) {
    absl::Status status = fleet_->Control(fleet_->log(), json);
    ASSERT_TRUE(status.ok()) << status;
  }

  std::vector<Answer> RunLoad(const LoadOptions& options,
                              absl::Duration duration) {
    FleetLoad load(*fleet_, options);
    load.Start();
    absl::SleepFor(duration);
    return load.Stop();
  }

  int64_t CliSpent() {
    auto shown = fleet_->Cli(
        {"budget", "permits", "--json", "--log", fleet_->log().ToString()});
    boost::system::error_code error;
    auto page = boost::json::parse(shown.ok() ? shown->second : "", error);
    return error ? -1 : page.at("spent").as_int64();
  }

  // Bills, the fold's sum, the routers' pages and the command line agree with
  // what callers were told.
  void ExpectAccountsMatch(const std::vector<Answer>& answers) {
    EXPECT_THAT(audit_->WrongBills(answers, kSettle), IsEmpty());
    EXPECT_EQ(audit_->overspend(), 0);
    int64_t told = 0;
    for (const Answer& answer : answers)
      told += answer.tokens;
    EXPECT_EQ(audit_->budget().spent, told);
    EXPECT_EQ(CliSpent(), told);
    EXPECT_TRUE(fleet_->WaitBudgetNumber(0, "spent", told, kSettle));
  }

  static std::map<std::string, int64_t> CountCodes(
      const std::vector<Answer>& answers) {
    std::map<std::string, int64_t> counts;
    for (const Answer& answer : answers)
      ++counts[answer.whole() ? "whole" : answer.code];
    return counts;
  }

  static void Print(const std::vector<Answer>& answers) {
    for (const auto& [code, count] : CountCodes(answers))
      std::cout << "  " << code << " " << count << "\n";
  }

  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<LedgerAudit> audit_;
};

TEST_F(LogFaultsTest, Log_DownUnderLoad_ServesFromGrantsAndRefusesTruly) {
  ASSERT_NO_FATAL_FAILURE(StartFleet({}));
  FleetLoad load(*fleet_, {.fibers = 12,
                           .pause = absl::Milliseconds(5),
                           .pause_after_error = absl::Milliseconds(100)});
  load.Start();
  absl::SleepFor(absl::Seconds(1));
  ASSERT_NO_FATAL_FAILURE(SetLog(R"({"outage":true})"));
  absl::Time down = absl::Now();
  absl::SleepFor(absl::Seconds(5));
  ASSERT_NO_FATAL_FAILURE(SetLog(R"({"outage":false})"));
  absl::Time back = absl::Now();
  absl::SleepFor(absl::Seconds(4));
  std::vector<Answer> answers = load.Stop();
  Print(answers);
  int64_t whole_while_down = 0;
  for (const Answer& answer : answers) {
    bool in_outage = answer.sent > down && answer.sent + answer.took < back;
    whole_while_down += in_outage && answer.whole() ? 1 : 0;
    EXPECT_TRUE(answer.whole() || answer.code == "budget_unavailable")
        << answer.status << " " << answer.code;
  }
  std::cout << "answered during the outage " << whole_while_down << "\n";
  EXPECT_GT(whole_while_down, 100);
  ExpectAccountsMatch(answers);
}

TEST_F(LogFaultsTest, Log_DownUntilGrantsEnd_RefusesAsUnavailableNotExhausted) {
  ASSERT_NO_FATAL_FAILURE(StartFleet({.budget_tokens = 1'000'000}));
  FleetLoad load(*fleet_, {.fibers = 12,
                           .chat = {.max_tokens = 100},
                           .pause_after_error = absl::Milliseconds(100)});
  load.Start();
  absl::SleepFor(absl::Milliseconds(300));
  ASSERT_NO_FATAL_FAILURE(SetLog(R"({"outage":true})"));
  absl::SleepFor(absl::Seconds(9));
  std::vector<Answer> answers = load.Stop();
  std::map<std::string, int64_t> counts = CountCodes(answers);
  Print(answers);
  EXPECT_GT(counts["whole"], 0);
  EXPECT_GT(counts["budget_unavailable"], 0);
  EXPECT_EQ(counts["budget_exhausted"], 0);
  for (const Answer& answer : answers) {
    EXPECT_TRUE(answer.code != "budget_unavailable" ||
                (answer.status == 503 && answer.run == "not_run"));
  }
  ASSERT_NO_FATAL_FAILURE(SetLog(R"({"outage":false})"));
  ExpectAccountsMatch(answers);
}

TEST_F(LogFaultsTest, Log_LosesReplies_EachAnswerHasOneBillAndSumsMatch) {
  ASSERT_NO_FATAL_FAILURE(StartFleet({}));
  ASSERT_NO_FATAL_FAILURE(SetLog(R"({"lose_replies":0.3})"));
  std::vector<Answer> answers = RunLoad({.fibers = 12}, absl::Seconds(5));
  Print(answers);
  ASSERT_NO_FATAL_FAILURE(SetLog(R"({"lose_replies":0.0})"));
  ExpectAccountsMatch(answers);
}

TEST_F(LogFaultsTest, Log_SlowAndOverItsRate_EachAnswerHasOneBill) {
  ASSERT_NO_FATAL_FAILURE(StartFleet({}));
  ASSERT_NO_FATAL_FAILURE(SetLog(R"({"append_delay_ms":300,"rate":10})"));
  std::vector<Answer> answers = RunLoad({.fibers = 12}, absl::Seconds(6));
  Print(answers);
  ASSERT_NO_FATAL_FAILURE(SetLog(R"({"append_delay_ms":0,"rate":500})"));
  for (const Answer& answer : answers)
    EXPECT_NE(answer.status, 402);
  ExpectAccountsMatch(answers);
}

// The held appends of the dead router land after its remainder has been given
// to others.
TEST_F(LogFaultsTest, Append_LandsAfterItsWriterDied_ChangesNothing) {
  ASSERT_NO_FATAL_FAILURE(StartFleet({}));
  std::vector<Answer> answers =
      RunLoad({.fibers = 4, .routers = {0}}, absl::Seconds(1));
  ASSERT_NO_FATAL_FAILURE(SetLog(R"({"hold_appends":true})"));
  std::vector<Answer> held =
      RunLoad({.fibers = 4, .routers = {0}, .requests = 40}, absl::Seconds(1));
  ASSERT_TRUE(fleet_->router_process(0).Signal(SIGKILL).ok());
  ASSERT_NO_FATAL_FAILURE(SetLog(R"({"hold_appends":false})"));
  ASSERT_TRUE(audit_->WaitHeldAtMost(0, absl::Seconds(16)));
  answers.insert(answers.end(), held.begin(), held.end());
  EXPECT_THAT(audit_->WrongBills(answers, kSettle), IsEmpty());
  int64_t spent = audit_->budget().spent;
  ASSERT_NO_FATAL_FAILURE(SetLog(R"({"release":true})"));
  absl::SleepFor(absl::Seconds(1));
  EXPECT_THAT(audit_->WrongBills(answers, kSettle), IsEmpty());
  EXPECT_EQ(audit_->budget().spent, spent);
  EXPECT_EQ(audit_->budget().held(), 0);
  EXPECT_EQ(audit_->overspend(), 0);
  EXPECT_TRUE(fleet_->WaitBudgetNumber(1, "spent", spent, kSettle));
}

TEST_F(LogFaultsTest, Retention_PassedWithCheckpoints_NewRouterJoinsAndAgrees) {
  ASSERT_NO_FATAL_FAILURE(StartFleet({.log_flags = {"--retention", "100"}}));
  ASSERT_TRUE(fleet_->router_process(2).Signal(SIGTERM).ok());
  std::vector<Answer> answers =
      RunLoad({.fibers = 6, .routers = {0, 1}, .pause = absl::Milliseconds(20)},
              absl::Seconds(14));
  ASSERT_EQ(audit_->Read().code(), absl::StatusCode::kOutOfRange);
  ASSERT_TRUE(fleet_->router_process(2).Wait(absl::Seconds(5)).ok());
  ASSERT_TRUE(fleet_->StartRouter(2).ok());
  ASSERT_TRUE(fleet_->WaitReady(2, absl::Seconds(8)).ok());
  int64_t told = 0;
  for (const Answer& answer : answers)
    told += answer.tokens;
  for (size_t i = 0; i < 3; ++i)
    EXPECT_TRUE(fleet_->WaitBudgetNumber(i, "spent", told, kSettle)) << i;
  EXPECT_EQ(CliSpent(), told);
}

// No router is left that could write a checkpoint.
TEST_F(LogFaultsTest, Retention_PassedWithoutCheckpoint_NewRouterIsNotReady) {
  ASSERT_NO_FATAL_FAILURE(StartFleet({}));
  RunLoad({.fibers = 6}, absl::Milliseconds(1500));
  for (size_t i = 0; i < 3; ++i) {
    ASSERT_TRUE(fleet_->router_process(i).Signal(SIGKILL).ok());
    ASSERT_TRUE(fleet_->router_process(i).Wait(absl::Seconds(5)).ok());
  }
  ASSERT_NO_FATAL_FAILURE(SetLog(R"({"retention":5})"));
  ASSERT_TRUE(fleet_->StartRouter(2).ok());
  absl::SleepFor(absl::Seconds(3));
  auto health =
      PlainHttp(fleet_->router(2), {.target = "/healthz"}, absl::Seconds(1));
  ASSERT_TRUE(health.ok()) << health.status();
  EXPECT_EQ(health->status, 503);
  auto refused = fleet_->Chat(2, {});
  ASSERT_TRUE(refused.ok());
  EXPECT_EQ(refused->status, 503);
  EXPECT_EQ(fleet_->BudgetNumber(2, "spent"), -1);
}

TEST_F(LogFaultsTest, Router_StartedDuringOutage_IsReadyOnceTheLogIsBack) {
  ASSERT_NO_FATAL_FAILURE(StartFleet({}));
  ASSERT_TRUE(fleet_->router_process(2).Signal(SIGTERM).ok());
  ASSERT_TRUE(fleet_->router_process(2).Wait(absl::Seconds(10)).ok());
  ASSERT_NO_FATAL_FAILURE(SetLog(R"({"outage":true})"));
  ASSERT_TRUE(fleet_->StartRouter(2).ok());
  absl::SleepFor(absl::Seconds(3));
  auto health =
      PlainHttp(fleet_->router(2), {.target = "/healthz"}, absl::Seconds(1));
  ASSERT_TRUE(health.ok()) << health.status();
  EXPECT_EQ(health->status, 503);
  EXPECT_EQ(fleet_->Chat(2, {}).value_or(HttpResponse()).status, 503);
  ASSERT_NO_FATAL_FAILURE(SetLog(R"({"outage":false})"));
  absl::Time back = absl::Now();
  ASSERT_TRUE(fleet_->WaitReady(2, absl::Seconds(10)).ok());
  std::cout << "ready after " << absl::Now() - back << "\n";
  EXPECT_EQ(fleet_->Chat(2, {}).value_or(HttpResponse()).status, 200);
}

// The log goes down just after a router with open requests is killed, and
// loses replies when it is back.
TEST_F(LogFaultsTest, Router_KilledInOutageWithLostReplies_BillsAreRightAfter) {
  ASSERT_NO_FATAL_FAILURE(StartFleet({}));
  FleetLoad load(*fleet_, {.fibers = 9,
                           .pause = absl::Milliseconds(10),
                           .pause_after_error = absl::Milliseconds(100)});
  load.Start();
  absl::SleepFor(absl::Seconds(1));
  ASSERT_NO_FATAL_FAILURE(SetLog(R"({"outage":true})"));
  absl::SleepFor(absl::Milliseconds(200));
  ASSERT_TRUE(fleet_->router_process(1).Signal(SIGKILL).ok());
  absl::SleepFor(absl::Seconds(2));
  ASSERT_NO_FATAL_FAILURE(
      SetLog(R"({"outage":false,"lose_replies":0.3,"append_delay_ms":20})"));
  absl::SleepFor(absl::Seconds(3));
  std::vector<Answer> answers = load.Stop();
  ASSERT_NO_FATAL_FAILURE(SetLog(R"({"lose_replies":0.0})"));
  Print(CountCodes(answers).size() > 20 ? std::vector<Answer>() : answers);
  EXPECT_THAT(audit_->WrongBills(answers, kSettle), IsEmpty());
  EXPECT_EQ(audit_->overspend(), 0);
  int64_t told = 0;
  for (const Answer& answer : answers)
    told += answer.tokens;
  // Requests cut off by the kill are billed too, by their gates.
  EXPECT_GE(audit_->budget().spent, told);
  EXPECT_EQ(CliSpent(), audit_->budget().spent);
}

}  // namespace
}  // namespace hawthornhollow
