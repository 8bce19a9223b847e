// Measures budgets and billing of a whole fleet of processes under a load with
// faults, phase by phase, and prints a table in Markdown. Exits with 1 if a
// member overspent or an answer was not billed exactly once.
//
//   build/tools/ledger_experiment --requests 100000 --seed 1

#include <popt.h>
#include <signal.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "testing/fleet.h"
#include "testing/fleet_load.h"
#include "testing/ledger_audit.h"

namespace hawthornhollow {
namespace {

constexpr size_t kRouters = 3;
constexpr size_t kEngines = 3;
constexpr size_t kFibers = 24;
constexpr int64_t kBudgetTokens = 1'000'000'000;
constexpr absl::Duration kFaultEvery = absl::Seconds(2);
// Between two requests of a fiber, so that a phase lasts for many faults.
constexpr absl::Duration kPause = absl::Milliseconds(20);
constexpr absl::Duration kPoll = absl::Milliseconds(50);
constexpr absl::Duration kReadyTimeout = absl::Seconds(20);
constexpr absl::Duration kSettleTimeout = absl::Seconds(30);
constexpr absl::Duration kRemainderTimeout = absl::Seconds(30);

struct Flags {
  int64_t requests = 3'000;
  int64_t seed = 1;
};

// One kind of fault, applied again and again while its phase lasts.
struct Phase {
  std::string name;
  std::function<void()> fault;
  std::function<void()> heal;
};

struct Row {
  std::string name;
  std::vector<Answer> answers;
  absl::Duration took;
  int64_t appends = 0;
  int64_t faults = 0;
};

int64_t CountCode(const std::vector<Answer>& answers, std::string_view code) {
  return std::count_if(answers.begin(), answers.end(),
                       [&](const Answer& a) { return a.code == code; });
}

class Experiment {
 public:
  Experiment(Fleet& fleet, const Flags& flags)
      : fleet_(fleet),
        flags_(flags),
        random_(static_cast<uint64_t>(flags.seed)),
        audit_(fleet.log()) {}

  // Whether every promise held.
  bool Run() {
    MeasureColdGrant();
    std::vector<Phase> phases = Phases();
    int64_t share = flags_.requests / static_cast<int64_t>(phases.size());
    for (const Phase& phase : phases)
      rows_.push_back(RunPhase(phase, std::max<int64_t>(share, 1)));
    MeasureRemainder();
    return Report();
  }

 private:
  std::vector<Phase> Phases() {
    auto log = [this](const std::string& json) {
      return [this, json] { Control(json); };
    };
    auto none = [] {};
    return {
        {"no fault", none, none},
        {"log down every other 2 s", [this] { Outage(); },
         log(R"({"outage":false})")},
        {"30% of append replies lost", log(R"({"lose_replies":0.3})"),
         log(R"({"lose_replies":0.0})")},
        {"appends take 200 ms, 20 a second",
         log(R"({"append_delay_ms":200,"rate":20})"),
         log(R"({"append_delay_ms":0,"rate":500})")},
        {"a router killed and started again", [this] { KillRouter(); }, none},
        {"a router paused for 2 s", [this] { PauseRouter(); }, none},
        {"kills and lost replies",
         [this] {
           Control(R"({"lose_replies":0.3})");
           KillRouter();
         },
         log(R"({"lose_replies":0.0})")},
    };
  }

  void Control(const std::string& json) {
    absl::Status status = fleet_.Control(fleet_.log(), json);
    if (!status.ok())
      std::fprintf(stderr, "log control: %s\n", status.ToString().c_str());
  }

  void Outage() {
    Control(R"({"outage":true})");
    absl::SleepFor(absl::Seconds(2));
    Control(R"({"outage":false})");
  }

  size_t AnyRouter() {
    return std::uniform_int_distribution<size_t>(0, kRouters - 1)(random_);
  }

  void KillRouter() {
    size_t router = AnyRouter();
    fleet_.router_process(router).Signal(SIGKILL).IgnoreError();
    fleet_.router_process(router).Wait(absl::Seconds(5)).IgnoreError();
    fleet_.StartRouter(router).IgnoreError();
    fleet_.WaitReady(router, kReadyTimeout).IgnoreError();
  }

  void PauseRouter() {
    size_t router = AnyRouter();
    fleet_.router_process(router).Signal(SIGSTOP).IgnoreError();
    absl::SleepFor(absl::Seconds(2));
    fleet_.router_process(router).Signal(SIGCONT).IgnoreError();
  }

  // The first request for a budget waits for its grant, the second does not.
  void MeasureColdGrant() {
    ChatOptions chat{.max_tokens = 1};
    for (size_t router = 0; router < kRouters; ++router) {
      absl::Time start = absl::Now();
      answers_.push_back(ParseAnswer(fleet_.Chat(router, chat)));
      absl::Time middle = absl::Now();
      answers_.push_back(ParseAnswer(fleet_.Chat(router, chat)));
      cold_ = std::max(cold_, middle - start);
      warm_ = std::max(warm_, absl::Now() - middle);
    }
  }

  Row RunPhase(const Phase& phase, int64_t requests) {
    Row row;
    row.name = phase.name;
    int64_t appends = LogAppends();
    absl::Time start = absl::Now();
    FleetLoad load(fleet_, {.fibers = kFibers,
                            .chat = {.max_tokens = 1 + flags_.seed % 3},
                            .requests = requests,
                            .pause = kPause});
    load.Start();
    while (load.sent() < requests) {
      phase.fault();
      ++row.faults;
      absl::Time next = absl::Now() + kFaultEvery;
      while (absl::Now() < next && load.sent() < requests)
        absl::SleepFor(kPoll);
    }
    row.answers = load.Finish();
    phase.heal();
    row.took = absl::Now() - start;
    row.appends = LogAppends() - appends;
    for (size_t router = 0; router < kRouters; ++router)
      fleet_.WaitReady(router, kReadyTimeout).IgnoreError();
    answers_.insert(answers_.end(), row.answers.begin(), row.answers.end());
    std::fprintf(stderr, "%s: done\n", phase.name.c_str());
    return row;
  }

  int64_t LogAppends() {
    auto page = fleet_.Get(fleet_.log(), "/control");
    int64_t sum = 0;
    if (!page.ok())
      return sum;
    std::vector<std::string> pieces = absl::StrSplit(*page, "\"appends\":");
    for (size_t i = 1; i < pieces.size(); ++i)
      sum += std::strtoll(pieces[i].c_str(), nullptr, 10);
    return sum;
  }

  std::string IncarnationOf(size_t router) {
    auto page = fleet_.Get(fleet_.router(router), "/status");
    boost::system::error_code error;
    auto status = boost::json::parse(page.value_or(""), error);
    return error ? "" : std::string(status.at("incarnation").as_string());
  }

  // Until what a killed router held is free again.
  void MeasureRemainder() {
    size_t router = AnyRouter();
    std::string incarnation = IncarnationOf(router);
    audit_.Read().IgnoreError();
    remainder_ = HeldBy(incarnation);
    fleet_.router_process(router).Signal(SIGKILL).IgnoreError();
    absl::Time killed = absl::Now();
    while (HeldBy(incarnation) > 0 &&
           absl::Now() - killed < kRemainderTimeout) {
      absl::SleepFor(kPoll);
      audit_.Read().IgnoreError();
    }
    remainder_back_ = absl::Now() - killed;
  }

  int64_t HeldBy(const std::string& incarnation) const {
    BudgetFold::BudgetState budget = audit_.budget();
    auto account = budget.accounts.find(incarnation);
    return account == budget.accounts.end() ? 0 : account->second.held();
  }

  void PrintGrantTimes() {
    for (size_t router = 0; router < kRouters; ++router) {
      auto page = fleet_.Get(fleet_.router(router), "/metrics");
      if (!page.ok())
        continue;
      for (absl::string_view line : absl::StrSplit(*page, '\n')) {
        if (absl::StrContains(line, "grant_seconds"))
          std::printf("- router %zu since its start: `%s`\n", router + 1,
                      std::string(line).c_str());
      }
    }
  }

  static void PrintRow(const Row& row) {
    int64_t whole = CountCode(row.answers, "");
    auto count = static_cast<double>(row.answers.size());
    std::printf(
        "| %s | %lld | %zu | %lld | %lld | %lld | %lld | %.0f | %.1f |\n",
        row.name.c_str(), static_cast<long long>(row.faults),
        row.answers.size(), static_cast<long long>(whole),
        static_cast<long long>(CountCode(row.answers, "budget_exhausted")),
        static_cast<long long>(CountCode(row.answers, "budget_unavailable")),
        static_cast<long long>(static_cast<int64_t>(row.answers.size()) -
                               whole -
                               CountCode(row.answers, "budget_exhausted") -
                               CountCode(row.answers, "budget_unavailable")),
        count / absl::ToDoubleSeconds(row.took),
        1000.0 * static_cast<double>(row.appends) / count);
  }

  bool Report() {
    std::vector<std::string> wrong =
        audit_.WrongBills(answers_, kSettleTimeout);
    std::printf(
        "| fault | times | requests | whole | budget_exhausted | "
        "budget_unavailable | other ends | requests/s | appends per 1,000 "
        "|\n|---|---|---|---|---|---|---|---|---|\n");
    for (const Row& row : rows_)
      PrintRow(row);
    int64_t whole = 0;
    int64_t told = 0;
    for (const Answer& answer : answers_) {
      whole += answer.whole() ? 1 : 0;
      told += answer.tokens;
    }
    BudgetFold::BudgetState budget = audit_.budget();
    std::printf(
        "\n- requests %zu, answered whole %lld, of these not billed "
        "exactly once with their usage: %zu\n",
        answers_.size(), static_cast<long long>(whole), wrong.size());
    for (size_t i = 0; i < std::min<size_t>(wrong.size(), 5); ++i)
      std::printf("  - %s\n", wrong[i].c_str());
    std::printf("- tokens told %lld, spent %lld, voted %lld, overspend %lld\n",
                static_cast<long long>(told),
                static_cast<long long>(budget.spent),
                static_cast<long long>(budget.voted),
                static_cast<long long>(audit_.overspend()));
    std::printf("- accounts closed %lld, remainders charged %lld tokens\n",
                static_cast<long long>(audit_.accounts_closed()),
                static_cast<long long>(audit_.remainders_charged()));
    std::printf(
        "- first request of a router, slowest %.1f ms; second %.1f "
        "ms\n- %lld tokens of a killed router back after %.2f s\n",
        absl::ToDoubleMilliseconds(cold_), absl::ToDoubleMilliseconds(warm_),
        static_cast<long long>(remainder_),
        absl::ToDoubleSeconds(remainder_back_));
    PrintGrantTimes();
    return wrong.empty() && audit_.overspend() == 0;
  }

  Fleet& fleet_;
  const Flags flags_;
  std::mt19937_64 random_;
  LedgerAudit audit_;
  std::vector<Row> rows_;
  std::vector<Answer> answers_;
  absl::Duration cold_;
  absl::Duration warm_;
  int64_t remainder_ = 0;
  absl::Duration remainder_back_;
};

int Main(int argc, const char** argv) {
  Flags flags;
  const poptOption options[] = {
      {"requests", 0, POPT_ARG_LONG | POPT_ARGFLAG_SHOW_DEFAULT,
       &flags.requests, 0, "requests over all phases", "N"},
      {"seed", 0, POPT_ARG_LONG | POPT_ARGFLAG_SHOW_DEFAULT, &flags.seed, 0,
       "of the choice of routers", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
  int code = poptGetNextOpt(context);
  poptFreeContext(context);
  if (code < -1)
    return 2;
  auto fleet = Fleet::Start(
      {.routers = kRouters,
       .engines = kEngines,
       .slots = 64,
       .budget_tokens = kBudgetTokens,
       .log_flags = {"--retention", "10000000"},
       .engine_flags = {"--token-ms", "0", "--prefill-ms-per-1k", "0"}});
  if (!fleet.ok()) {
    std::fprintf(stderr, "%s\n", fleet.status().ToString().c_str());
    return 1;
  }
  return Experiment(**fleet, flags).Run() ? 0 : 1;
}

}  // namespace
}  // namespace hawthornhollow

int main(int argc, const char** argv) {
  return hawthornhollow::Main(argc, argv);
}
