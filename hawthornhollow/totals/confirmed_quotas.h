#ifndef HAWTHORNHOLLOW_TOTALS_CONFIRMED_QUOTAS_H_
#define HAWTHORNHOLLOW_TOTALS_CONFIRMED_QUOTAS_H_

// How much of this router's quotas enough other routers know.
//
// The store may come back from an older copy, and a killed router cannot write
// its records again. What other routers remember of them then decides what it
// may have committed. A router therefore uses what a record makes ready only
// once enough routers have read it (ReadersNeeded), and before that no more
// than a small allowance beyond.
//
//   ConfirmedQuotas confirmed(&fb::AuthorityShareT::ready);
//   confirmed.OnDurable(record, end, routers);    // each own record
//   if (std::optional<int64_t> end = confirmed.awaited_end())
//     confirmed.OnReaders(number of routers that have read up to *end);
//   int64_t limit = confirmed.tokens(workspace) + allowance;

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "hawthornhollow/totals/totals_generated.h"

namespace hawthornhollow {

// The number of routers, its writer included, that must have read a record
// before it counts as known; and how many of those that are left must tell what
// they remember for one of the readers to be among them. The first is small, so
// that quotas rise while many routers are away; a quarter or more of all may be
// lost at the same time as the records.
constexpr size_t ReadersNeeded(size_t routers) {
  return std::min(routers, std::max<size_t>(2, routers / 4 + 1));
}
constexpr size_t TellersNeeded(size_t routers) {
  return routers - ReadersNeeded(routers) + 1;
}

class ConfirmedQuotas {
 public:
  // Which number of a record's shares counts.
  using Field = int64_t fb::AuthorityShareT::*;
  explicit ConfirmedQuotas(Field field) : field_(field) {}

  // This router's record is durable, and the log of records ended at `end` when
  // it was. `routers` is the number of known ones, this one included.
  void OnDurable(const fb::AuthorityRecordT& record,
                 int64_t end,
                 size_t routers) {
    Record next{.end = end, .routers = routers};
    for (const auto& share : record.shares)
      next.tokens[share->workspace] = (*share).*field_;
    // A reader of an earlier record may have read this one too, and then it
    // remembers no more than this.
    LowerTo(next, tokens_);
    if (awaited_.has_value())
      LowerTo(next, awaited_->tokens);
    else
      awaited_ = next;
    newest_ = std::move(next);
  }

  // Where the log must have been read to for a record to be confirmed; unset if
  // none waits for readers.
  std::optional<int64_t> awaited_end() const {
    return awaited_.has_value() ? std::optional(awaited_->end) : std::nullopt;
  }
  // So many routers, this one included, have read up to awaited_end(). Returns
  // whether a record was confirmed by that.
  bool OnReaders(size_t readers) {
    if (!awaited_.has_value() || readers < ReadersNeeded(awaited_->routers))
      return false;
    for (const auto& [workspace, tokens] : awaited_->tokens)
      tokens_[workspace] = std::max(tokens_[workspace], tokens);
    const bool is_newest = awaited_->end == newest_.end;
    awaited_ = is_newest ? std::nullopt : std::optional(newest_);
    return true;
  }

  // The record that an earlier incarnation of this router left is known.
  void SetKnown(const fb::AuthorityRecordT& record) {
    for (const auto& share : record.shares)
      tokens_[share->workspace] = (*share).*field_;
  }
  // Offsets begin anew. What is confirmed stays so.
  void BeginEra() { awaited_.reset(); }

  int64_t tokens(const std::string& workspace) const {
    const auto found = tokens_.find(workspace);
    return found == tokens_.end() ? 0 : found->second;
  }

 private:
  using Tokens = std::map<std::string, int64_t>;  // keyed by workspace
  struct Record {
    Tokens tokens;
    int64_t end = 0;
    size_t routers = 1;
  };

  static void LowerTo(const Record& record, Tokens& tokens) {
    for (auto& [workspace, known] : tokens) {
      const auto found = record.tokens.find(workspace);
      known = std::min(known, found == record.tokens.end() ? 0 : found->second);
    }
  }

  Field field_;
  Tokens tokens_;
  std::optional<Record> awaited_;
  Record newest_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_TOTALS_CONFIRMED_QUOTAS_H_
