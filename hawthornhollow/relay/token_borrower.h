#ifndef HAWTHORNHOLLOW_RELAY_TOKEN_BORROWER_H_
#define HAWTHORNHOLLOW_RELAY_TOKEN_BORROWER_H_

// Asks the holders of a workspace's total for tokens, and hands over those that
// are not needed. TotalsBook decides how many; this class does the calls.
//
// Requests that wait share rounds of asking: one holder after another until
// there is enough for all that wait. A round that began after a request did
// tells whether the holders have tokens for it.
//
//   borrower.StartRound(workspace);   // while requests wait
//   borrower.AskAhead(workspace);     // after each request, and at an interval
//   borrower.HandOverExcess(workspace);

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/random/random.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/boot_clock.h"
#include "hawthornhollow/relay/fiber_signal.h"
#include "hawthornhollow/relay/relay_metrics.h"
#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {

// Asks the router at an address for tokens, and hands tokens over to it.
struct TransferCalls {
  std::function<absl::StatusOr<TransferAnswer>(const std::string& address,
                                               const TransferQuestion&)>
      ask;
  std::function<absl::Status(const std::string& address,
                             const std::string& workspace,
                             int64_t tokens)>
      hand_over;
};

struct TokenBorrowerOptions {
  // Minimum time between two rounds of asking for one workspace in which no
  // tokens were transferred.
  absl::Duration ask_interval = absl::Milliseconds(50);
  // How long holders that had too little are not asked for as much again. Their
  // records show after this time what has become free.
  absl::Duration left_known_for = absl::Milliseconds(400);
  // Minimum time between two questions for a loan of one workspace, and after
  // one that no tokens were given for.
  absl::Duration loan_interval = absl::Milliseconds(100);
  absl::Duration loan_pause = absl::Seconds(1);
  // A router that did not answer is not asked again for this time.
  absl::Duration ask_pause = absl::Milliseconds(400);
};

class TokenBorrower {
 public:
  // `first_waiting` returns the tokens for which the first request in a
  // workspace's queue waits. `changed` is notified when tokens arrive and when
  // a round ends. The references must outlive this object.
  TokenBorrower(TotalsBook& book,
                FiberSignal& changed,
                RelayMetrics& metrics,
                const TokenBorrowerOptions& options,
                std::function<void(std::function<void()>)> spawn,
                TransferCalls calls,
                std::function<int64_t(const std::string&)> first_waiting)
      : book_(book),
        changed_(changed),
        metrics_(metrics),
        options_(options),
        spawn_(std::move(spawn)),
        calls_(std::move(calls)),
        first_waiting_(std::move(first_waiting)) {}
  TokenBorrower(const TokenBorrower&) = delete;
  TokenBorrower& operator=(const TokenBorrower&) = delete;

  // The next round to begin, and whether a round has ended.
  uint64_t NextRound(const std::string& workspace) {
    return asking_[workspace].begun + 1;
  }
  bool HasEnded(const std::string& workspace, uint64_t round) {
    return asking_[workspace].ended >= round;
  }
  // Whether a holder did not answer in the last round, and whether any did.
  bool IsHolderSilent(const std::string& workspace) {
    return asking_[workspace].holder_silent;
  }
  bool DoesAHolderAnswer(const std::string& workspace) {
    return asking_[workspace].holder_answers;
  }
  // Whether a holder may have the tokens. If all are committed, asking again
  // would only load the links: what requests do not use shows in the records,
  // and each router has its own to wait for.
  bool MayBeGiven(const std::string& workspace, int64_t tokens) {
    if (book_.Uncommitted(workspace) < tokens)
      return false;
    const AskState& asking = asking_[workspace];
    return SteadyNow() >= asking.left_until || asking.left >= tokens;
  }

  // Starts a round of asking the holders, unless one is in progress.
  void StartRound(const std::string& workspace) {
    AskState& asking = asking_[workspace];
    if (SteadyNow() < asking.next || asking.begun != asking.ended)
      return;
    ++asking.begun;
    spawn_([this, workspace, &asking] {
      const bool got_any = AskHolders(workspace, &asking);
      if (!got_any)
        asking.next = SteadyNow() + options_.ask_interval;
      ++asking.ended;
      changed_.Notify();
    });
  }

  // Asks a holder for a loan if there is little left of the last one, so that
  // requests need not wait for an answer.
  void AskAhead(const std::string& workspace) {
    AskState& asking = asking_[workspace];
    if (asking.is_asking_ahead || asking.begun != asking.ended ||
        SteadyNow() < asking.ahead_next)
      return;
    const auto question = book_.MakeLoanQuestion(workspace, BootTime());
    if (!question.has_value())
      return;
    const std::string holder = HolderInReach(workspace, asking.ahead_fruitless);
    if (holder.empty())
      return;
    asking.is_asking_ahead = true;
    spawn_([this, holder, question = *question, &asking] {
      const auto answer = Ask(holder, question);
      const bool is_given = answer.has_value() && answer->tokens > 0;
      asking.ahead_fruitless = is_given ? 0 : asking.ahead_fruitless + 1;
      asking.ahead_next = SteadyNow() + (is_given ? options_.loan_interval
                                                  : options_.loan_pause);
      asking.is_asking_ahead = false;
    });
  }

  // Tells holders which of their answers were lost, so that they take the
  // tokens back.
  void TellUnanswered() {
    for (const auto& [address, numbers] : unanswered_) {
      if (numbers.empty() || is_telling_[address] ||
          ask_paused_until_[address] > SteadyNow())
        continue;
      is_telling_[address] = true;
      spawn_([this, address = address] {
        Ask(address, {.router = book_.router()});
        is_telling_[address] = false;
      });
    }
  }

  // Hands over transferred tokens that are not needed, or all of them.
  void HandOverExcess(const std::string& workspace) {
    const std::string holder = HolderInReach(workspace);
    if (!holder.empty())
      HandOver(holder, workspace,
               book_.TakeExcessTransfers(workspace, BootTime()));
  }

  void HandOverAll(const std::string& workspace) {
    const std::string holder = HolderInReach(workspace);
    if (!holder.empty())
      HandOver(holder, workspace, book_.TakeAllTransfers(workspace));
  }

 private:
  // Bounds memory and messages; what older questions gave stays lost.
  static constexpr size_t kMaxUnanswered = 64;

  struct AskState {
    uint64_t begun = 0;
    uint64_t ended = 0;
    absl::Time next;  // not before
    // In the last round: a holder did not answer; one did, or none was asked.
    bool holder_silent = false;
    bool holder_answers = true;
    // Not committed, as holders said in the last round; until then they are not
    // asked for more.
    int64_t left = 0;
    absl::Time left_until = absl::InfinitePast();
    // Asking for a loan ahead of demand.
    bool is_asking_ahead = false;
    absl::Time ahead_next;       // not before
    size_t ahead_fruitless = 0;  // questions in a row without tokens
  };

  // Asks one holder after another until there is enough for all that wait.
  // Returns whether tokens were transferred.
  bool AskHolders(const std::string& workspace, AskState* asking) {
    asking->holder_silent = false;
    asking->left = 0;
    bool any_said_left = false;
    bool got_any = false;
    for (const std::string& address : book_.OtherHolders(workspace)) {
      if (book_.WaitingShortfall(workspace, BootTime()) <= 0)
        break;
      if (ask_paused_until_[address] > SteadyNow()) {
        asking->holder_silent = true;
        continue;
      }
      const int64_t needed = first_waiting_(workspace) -
                             book_.state(workspace, BootTime()).available;
      const auto answer = Ask(
          address, book_.MakeQuestion(workspace, std::max<int64_t>(0, needed),
                                      BootTime()));
      if (!answer.has_value()) {
        asking->holder_silent = true;
        continue;
      }
      asking->left = std::max(asking->left, answer->left);
      any_said_left = true;
      got_any = got_any || answer->tokens > 0;
    }
    asking->holder_answers = any_said_left || !asking->holder_silent;
    if (any_said_left && !got_any)
      asking->left_until = SteadyNow() + options_.left_known_for;
    return got_any;
  }

  // Asks one holder and takes what it gives; returns nullopt if it does not
  // answer.
  std::optional<TransferAnswer> Ask(const std::string& address,
                                    TransferQuestion question) {
    question.incarnation = incarnation_;
    question.number = ++last_number_;
    question.unanswered = unanswered_[address];
    metrics_.OnTokensAsked(/*ahead=*/question.waiting == 0 &&
                           question.needed == 0);
    const auto answer = calls_.ask(address, question);
    if (!answer.ok()) {
      AddUnanswered(address, question.number);
      ask_paused_until_[address] = SteadyNow() + options_.ask_pause;
      LogEvent("total.ask_failed", LogSeverity::kWarning)
          .Add("peer", address)
          .Add("reason", answer.status());
      return std::nullopt;
    }
    std::erase_if(unanswered_[address], [&](int64_t number) {
      return std::ranges::find(question.unanswered, number) !=
             question.unanswered.end();
    });
    if (question.workspace.empty())
      return *answer;
    book_.ObserveUsed(question.workspace, answer->used);
    book_.ObserveLoan(question.workspace, answer->loan);
    if (answer->tokens > 0) {
      book_.ReceiveTransfer(question.workspace, answer->tokens);
      changed_.Notify();
    }
    return *answer;
  }

  void AddUnanswered(const std::string& address, int64_t number) {
    std::vector<int64_t>& numbers = unanswered_[address];
    if (numbers.size() >= kMaxUnanswered)
      numbers.erase(numbers.begin());
    numbers.push_back(number);
  }

  // A holder that answered of late, after the first `skipped` of them in a
  // circle; empty if there is none.
  std::string HolderInReach(const std::string& workspace, size_t skipped = 0) {
    const std::vector<std::string> holders = book_.OtherHolders(workspace);
    for (size_t i = 0; i < holders.size(); ++i) {
      const std::string& address = holders[(skipped + i) % holders.size()];
      if (ask_paused_until_[address] <= SteadyNow())
        return address;
    }
    return "";
  }

  void HandOver(const std::string& holder,
                const std::string& workspace,
                int64_t tokens) {
    if (tokens == 0)
      return;
    const absl::Status handed = calls_.hand_over(holder, workspace, tokens);
    LogEvent("total.handed_over",
             handed.ok() ? LogSeverity::kInfo : LogSeverity::kWarning)
        .Add("peer", holder)
        .Add("workspace", workspace)
        .Add("tokens", tokens)
        .Add("result", handed);
    if (!handed.ok())
      ask_paused_until_[holder] = SteadyNow() + options_.ask_pause;
  }

  TotalsBook& book_;
  FiberSignal& changed_;
  RelayMetrics& metrics_;
  const TokenBorrowerOptions options_;
  const std::function<void(std::function<void()>)> spawn_;
  const TransferCalls calls_;
  const std::function<int64_t(const std::string&)> first_waiting_;
  std::map<std::string, AskState> asking_;              // keyed by workspace
  std::map<std::string, absl::Time> ask_paused_until_;  // keyed by address
  // Of this process: routers that restart number their questions anew.
  const uint64_t incarnation_ = absl::Uniform<uint64_t>(absl::BitGen());
  int64_t last_number_ = 0;
  // Keyed by address: questions whose answers were lost, oldest first.
  std::map<std::string, std::vector<int64_t>> unanswered_;
  std::map<std::string, bool> is_telling_;  // keyed by address
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_TOKEN_BORROWER_H_
