#include "hawthornhollow/totals/transfer_journal.h"

#include <algorithm>
#include <utility>

namespace hawthornhollow {

TransferJournal::Asker& TransferJournal::AskerOf(
    const TransferQuestion& question) {
  const auto [found, is_new] = askers_.try_emplace(question.router);
  if (is_new && askers_.size() > kMaxAskers) {
    const bool is_first = found == askers_.begin();
    askers_.erase(is_first ? std::next(found) : askers_.begin());
  }
  Asker& asker = found->second;
  if (asker.incarnation != question.incarnation)
    asker = {.incarnation = question.incarnation};
  return asker;
}

std::vector<TransferGrant> TransferJournal::TakeUnanswered(
    const TransferQuestion& question) {
  std::vector<TransferGrant> lost;
  if (question.unanswered.empty())
    return lost;
  Asker& asker = AskerOf(question);
  for (const int64_t number : question.unanswered) {
    auto grant = asker.grants.extract(number);
    if (!grant.empty() && grant.mapped().tokens > 0)
      lost.push_back(std::move(grant.mapped()));
    asker.given_up.insert(number);
  }
  while (asker.given_up.size() > kMaxGrants) {
    asker.given_up_to = *asker.given_up.begin();
    asker.given_up.erase(asker.given_up.begin());
  }
  return lost;
}

std::optional<int64_t> TransferJournal::KnownAnswer(
    const TransferQuestion& question) const {
  const auto found = askers_.find(question.router);
  if (found == askers_.end() ||
      found->second.incarnation != question.incarnation)
    return std::nullopt;
  const Asker& asker = found->second;
  if (question.number <= asker.given_up_to ||
      asker.given_up.contains(question.number))
    return 0;
  const auto grant = asker.grants.find(question.number);
  return grant == asker.grants.end() ? std::nullopt
                                     : std::optional(grant->second.tokens);
}

void TransferJournal::OnGiven(const TransferQuestion& question,
                              int64_t tokens) {
  Asker& asker = AskerOf(question);
  asker.grants[question.number] = {.workspace = question.workspace,
                                   .tokens = tokens};
  if (asker.grants.size() > kMaxGrants)
    asker.grants.erase(asker.grants.begin());
}

}  // namespace hawthornhollow
