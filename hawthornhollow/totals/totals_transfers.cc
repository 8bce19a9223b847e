// Transfers of tokens between a holder and the routers that ask it.
//
// Assumed load: tens to hundreds of routers that each get a small part of a
// workspace's requests, over links on which a question may take as long as a
// request can wait. A borrower therefore keeps tokens for the demand of several
// seconds and asks for more when it has used up most of them, so that few
// requests wait for an answer and one question serves several requests. Loans
// are limited (see totals_book.cc) and shrink as the total runs out, until each
// request asks for itself and finds the last tokens at the holders.

#include <algorithm>
#include <utility>

#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {
namespace {

// A borrower fills its loan up to kFillTo of the limit when less than kAskBelow
// is left. Tokens that requests did not use fit above, so they are seldom
// handed over only to be asked for again.
constexpr double kAskBelow = 0.4;
constexpr double kFillTo = 0.8;

int64_t TokensIn(double per_second, absl::Duration time) {
  return static_cast<int64_t>(per_second * absl::ToDoubleSeconds(time));
}

}  // namespace

int64_t TotalsBook::TransferOut(const TransferQuestion& question,
                                absl::Duration now) {
  if (FindUsage(question.workspace) == nullptr || question.wanted <= 0)
    return 0;
  LocalUsage& usage = UsageOf(question.workspace);
  usage.borrowers[question.router] = {.demand = question.demand,
                                      .asked_at = now};
  const int64_t in_quota = std::max<int64_t>(
      0, AvailableFromAuthority(question.workspace, usage, now) +
             usage.transfers - usage.waiting);
  // Transferred tokens are committed immediately, so the commit limit applies
  // too.
  const int64_t commit_room =
      std::max<int64_t>(
          0, CommitLimit(question.workspace, now) - usage.committed) +
      usage.transfers;
  int64_t spare = std::min(in_quota, commit_room);
  // Requests that wait at other routers come before loans.
  if (question.needed == 0)
    spare = std::max<int64_t>(0, spare - usage.lending);
  if (spare < question.needed)
    return 0;
  // Tokens that nobody waits for are kept together as the total runs out.
  constexpr int64_t kQuotaDivisor = 16;
  const int64_t quota_left = EffectiveAuthority(question.workspace, now) -
                             usage.committed - usage.held;
  const int64_t waited_for = std::max(question.needed, question.waiting);
  const int64_t given = std::min(
      {question.wanted, spare,
       std::max(waited_for, std::min(quota_left / kQuotaDivisor,
                                     waited_for + AheadLimit(question, now)))});
  const int64_t from_transfers = std::min(given, usage.transfers);
  usage.transfers -= from_transfers;
  usage.committed += given - from_transfers;
  usage.lent += given - from_transfers;
  return given;
}

// Tokens that come back to a holder reduce its commitments, so that its records
// cover them again. The router that handed them over no longer has them.
void TotalsBook::ReceiveTransfer(const std::string& workspace, int64_t tokens) {
  LocalUsage& usage = UsageOf(workspace);
  const int64_t returned =
      IsHolder(workspace) ? std::min(tokens, usage.lent) : 0;
  usage.lent -= returned;
  usage.committed -= returned;
  usage.transfers += tokens - returned;
}

void TotalsBook::AddLending(const std::string& workspace, int64_t tokens) {
  UsageOf(workspace).lending += tokens;
}

void TotalsBook::RemoveLending(const std::string& workspace, int64_t tokens) {
  UsageOf(workspace).lending -= tokens;
}

int64_t TotalsBook::AheadLimit(const TransferQuestion& question,
                               absl::Duration now) const {
  if (options_.loan_horizon == absl::ZeroDuration())
    return question.wanted;
  return std::max(LoanFor(question, now),
                  TokensIn(static_cast<double>(question.demand),
                           options_.transfer_horizon));
}

int64_t TotalsBook::LoanFor(const TransferQuestion& question,
                            absl::Duration now) const {
  const LocalUsage* usage = FindUsage(question.workspace);
  if (usage == nullptr || !IsHolder(question.workspace) ||
      options_.loan_horizon == absl::ZeroDuration())
    return 0;
  // Borrowers with little demand ask rarely.
  double demand = 0;
  for (const auto& [router, borrower] : usage->borrowers) {
    if (now - borrower.asked_at < options_.loan_idle_after)
      demand += static_cast<double>(borrower.demand);
  }
  const double all_loans =
      std::min(options_.loan_share_of_total *
                   static_cast<double>(TotalOf(question.workspace)),
               options_.loan_share_of_left *
                   static_cast<double>(Uncommitted(question.workspace)));
  const double part =
      static_cast<double>(question.demand) /
      std::max({demand, static_cast<double>(question.demand), 1.0});
  return static_cast<int64_t>(
      std::max(0.0, all_loans) * part /
      static_cast<double>(HoldersOf(question.workspace).size()));
}

void TotalsBook::ObserveLoan(const std::string& workspace, int64_t tokens) {
  UsageOf(workspace).loan = tokens;
}

int64_t TotalsBook::ExpectedDemand(const LocalUsage& usage,
                                   absl::Duration now) const {
  return TokensIn(OwnDemand(usage, now), options_.transfer_horizon);
}

int64_t TotalsBook::UncommittedElsewhere(const std::string& workspace,
                                         const LocalUsage& usage) const {
  return std::max<int64_t>(0, Uncommitted(workspace) - usage.transfers);
}

TotalsBook::LoanBounds TotalsBook::LoanBoundsOf(const std::string& workspace,
                                                const LocalUsage& usage,
                                                absl::Duration now) const {
  const double demand = OwnDemand(usage, now);
  int64_t needed = TokensIn(demand, options_.loan_horizon);
  if (static_cast<double>(TokensIn(demand, options_.loan_idle_after)) >=
      usage.average_request)
    needed = std::max(needed, static_cast<int64_t>(usage.average_request *
                                                   options_.loan_requests));
  const auto share_of_left = static_cast<int64_t>(
      static_cast<double>(UncommittedElsewhere(workspace, usage)) *
      options_.loan_share);
  const int64_t loan = std::min({needed, usage.loan, share_of_left});
  const int64_t expected = std::min(ExpectedDemand(usage, now), share_of_left);
  const auto filled_to =
      static_cast<int64_t>(static_cast<double>(loan) * kFillTo);
  // A loan that is hardly larger than what requests ask for besides would only
  // add questions.
  constexpr int64_t kMinLoanFactor = 2;
  if (options_.loan_horizon == absl::ZeroDuration() ||
      filled_to < kMinLoanFactor * expected)
    return {.ask_below = 0, .fill_to = expected, .limit = expected};
  // A smaller loan lasts for about one request. Asking ahead would then take a
  // question for each; asking when one waits fills it for the next.
  constexpr double kMinRequestsAhead = 3;
  const bool is_ahead =
      static_cast<double>(loan) >= kMinRequestsAhead * usage.average_request;
  return {.ask_below = is_ahead ? static_cast<int64_t>(
                                      static_cast<double>(loan) * kAskBelow)
                                : 0,
          .fill_to = filled_to,
          .limit = loan};
}

TransferQuestion TotalsBook::MakeQuestion(const std::string& workspace,
                                          int64_t needed,
                                          absl::Duration now) const {
  TransferQuestion question{.router = options_.router,
                            .workspace = workspace,
                            .needed = needed,
                            .waiting = WaitingShortfall(workspace, now)};
  question.wanted = std::max(question.needed, question.waiting);
  if (const LocalUsage* usage = FindUsage(workspace)) {
    question.wanted += std::max(ExpectedDemand(*usage, now),
                                LoanBoundsOf(workspace, *usage, now).fill_to);
    question.demand = static_cast<int64_t>(OwnDemand(*usage, now));
  }
  return question;
}

std::optional<TransferQuestion> TotalsBook::MakeLoanQuestion(
    const std::string& workspace,
    absl::Duration now) const {
  const LocalUsage* usage = FindUsage(workspace);
  if (usage == nullptr || usage->waiting > 0 || IsHolder(workspace))
    return std::nullopt;
  const LoanBounds bounds = LoanBoundsOf(workspace, *usage, now);
  if (usage->transfers >= bounds.ask_below)
    return std::nullopt;
  TransferQuestion question{.router = options_.router, .workspace = workspace};
  question.wanted = bounds.fill_to - usage->transfers;
  question.demand = static_cast<int64_t>(OwnDemand(*usage, now));
  return question;
}

int64_t TotalsBook::TakeExcessTransfers(const std::string& workspace,
                                        absl::Duration now) {
  LocalUsage& usage = UsageOf(workspace);
  if (IsHolder(workspace))
    return 0;
  const LoanBounds bounds = LoanBoundsOf(workspace, usage, now);
  if (usage.transfers - usage.waiting <= bounds.limit)
    return 0;
  const int64_t excess = usage.transfers - usage.waiting - bounds.fill_to;
  usage.transfers -= excess;
  return excess;
}

int64_t TotalsBook::TakeAllTransfers(const std::string& workspace) {
  return std::exchange(UsageOf(workspace).transfers, 0);
}

}  // namespace hawthornhollow
