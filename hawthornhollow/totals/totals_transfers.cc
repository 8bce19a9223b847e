// Transfers of tokens between a holder and the routers that ask it.

#include <algorithm>
#include <utility>

#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {

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
  const int64_t spare = std::min(in_quota, commit_room);
  if (spare < question.needed)
    return 0;
  // Tokens that nobody waits for are kept together as the total runs out.
  constexpr int64_t kQuotaDivisor = 16;
  const int64_t quota_left =
      EffectiveAuthority(question.workspace) - usage.committed - usage.held;
  const int64_t given = std::min({question.wanted, spare,
                                  std::max({question.needed, question.waiting,
                                            quota_left / kQuotaDivisor})});
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

int64_t TotalsBook::ExpectedDemand(const LocalUsage& usage,
                                   absl::Duration now) const {
  return static_cast<int64_t>(OwnDemand(usage, now) *
                              absl::ToDoubleSeconds(options_.transfer_horizon));
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
    question.wanted += ExpectedDemand(*usage, now);
    question.demand = static_cast<int64_t>(OwnDemand(*usage, now));
  }
  return question;
}

int64_t TotalsBook::TakeExcessTransfers(const std::string& workspace,
                                        absl::Duration now) {
  LocalUsage& usage = UsageOf(workspace);
  if (IsHolder(workspace))
    return 0;
  const int64_t elsewhere =
      std::max<int64_t>(0, Uncommitted(workspace) - usage.transfers);
  const int64_t kept =
      std::min(ExpectedDemand(usage, now),
               static_cast<int64_t>(static_cast<double>(elsewhere) *
                                    options_.loan_share));
  const int64_t excess = usage.transfers - usage.waiting - kept;
  if (excess <= 0)
    return 0;
  usage.transfers -= excess;
  return excess;
}

int64_t TotalsBook::TakeAllTransfers(const std::string& workspace) {
  return std::exchange(UsageOf(workspace).transfers, 0);
}

}  // namespace hawthornhollow
