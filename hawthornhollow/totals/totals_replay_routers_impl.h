#ifndef HAWTHORNHOLLOW_TOTALS_TOTALS_REPLAY_ROUTERS_IMPL_H_
#define HAWTHORNHOLLOW_TOTALS_TOTALS_REPLAY_ROUTERS_IMPL_H_

// Implementation of totals_replay.h: questions between routers, and their
// records in the store.

#include <algorithm>

#include "hawthornhollow/totals/totals_replay.h"

namespace hawthornhollow {

// The names follow TotalsController and RecordSynchronizer and their options.
inline constexpr char kReplayWorkspace[] = "ward-7";
// When routers start, and when requests begin to arrive.
inline constexpr absl::Duration kReplayStart = absl::Seconds(100);
inline constexpr absl::Duration kReplayBegin = absl::Seconds(103);
inline constexpr absl::Duration kReplayTick = absl::Milliseconds(10);
inline constexpr absl::Duration kReplayPatience = absl::Milliseconds(125);
inline constexpr absl::Duration kReplayTimeout = absl::Milliseconds(250);
inline constexpr absl::Duration kReplayAmpleTimeout = absl::Seconds(1);
inline constexpr absl::Duration kReplayAskInterval = absl::Milliseconds(50);
inline constexpr absl::Duration kReplayLoanInterval = absl::Milliseconds(100);
inline constexpr absl::Duration kReplayLoanPause = absl::Seconds(1);
inline constexpr absl::Duration kReplayLeftKnownFor = absl::Milliseconds(400);
inline constexpr absl::Duration kReplayLendTimeout = absl::Milliseconds(60);
inline constexpr absl::Duration kReplayCallTimeout = absl::Milliseconds(400);
inline constexpr absl::Duration kReplayRecordInterval = absl::Milliseconds(300);
inline constexpr absl::Duration kReplayReturnInterval = absl::Milliseconds(250);

inline void Replay::StartAsking(size_t index) {
  Router& router = routers_[index];
  if (now_ < router.next_round || router.rounds_begun != router.rounds_ended)
    return;
  ++router.rounds_begun;
  router.holder_silent = false;
  router.left = 0;
  router.is_answered = false;
  router.is_given = false;
  router.next_round = now_ + kReplayAskInterval;
  AskNext({.asker = index,
           .incarnation = router.incarnation,
           .holders = router.book->OtherHolders(kReplayWorkspace)});
}

inline void Replay::AskNext(Question question) {
  const size_t asker = question.asker;
  Router& router = routers_[asker];
  if (router.book == nullptr || router.incarnation != question.incarnation)
    return;
  const int64_t shortfall =
      router.book->WaitingShortfall(kReplayWorkspace, now_);
  if (question.holders.empty() || shortfall <= 0)
    return EndRound(asker);
  const std::string name = question.holders.front();
  question.holders.erase(question.holders.begin());
  const size_t holder = std::stoul(name.substr(name.find('-') + 1));
  const int64_t first =
      router.waiting.empty() ? 0 : router.waiting.front().tokens;
  const int64_t needed = std::max<int64_t>(
      0, first - router.book->state(kReplayWorkspace, now_).available);
  const TransferQuestion wanted =
      router.book->MakeQuestion(kReplayWorkspace, needed, now_);
  ++result_.questions;
  if (IsAmple())
    ++result_.ample_questions;
  if (routers_[holder].book == nullptr) {
    router.holder_silent = true;
    return AtRouter(asker, now_ + kReplayCallTimeout,
                    [this, question] { AskNext(question); });
  }
  AtRouter(holder, now_ + settings_.one_way, [=, this] {
    Give(holder, wanted, now_ + kReplayLendTimeout,
         [=, this](TransferAnswer answer) {
           At(now_ + settings_.one_way, [=, this] {
             Router& receiver = routers_[asker];
             if (receiver.book == nullptr ||
                 receiver.incarnation != question.incarnation)
               return;
             receiver.left = std::max(receiver.left, answer.left);
             receiver.book->ObserveUsed(kReplayWorkspace, answer.used);
             receiver.book->ObserveLoan(kReplayWorkspace, answer.loan);
             receiver.is_answered = true;
             if (answer.tokens > 0) {
               receiver.is_given = true;
               receiver.next_round = now_;
               receiver.book->ReceiveTransfer(kReplayWorkspace, answer.tokens);
               ServeWaiting(asker);
             }
             AskNext(question);
           });
         });
  });
}

inline int64_t Replay::IdleLoans() const {
  int64_t sum = 0;
  for (const Router& router : routers_) {
    if (router.book != nullptr && !router.book->IsHolder(kReplayWorkspace))
      sum += router.book->state(kReplayWorkspace, now_).available;
  }
  return sum;
}

inline void Replay::AskAhead(size_t index) {
  Router& router = routers_[index];
  if (router.is_asking_ahead || router.rounds_begun != router.rounds_ended ||
      now_ < router.ahead_next)
    return;
  const auto question = router.book->MakeLoanQuestion(kReplayWorkspace, now_);
  const auto holders = router.book->OtherHolders(kReplayWorkspace);
  if (!question.has_value() || holders.empty())
    return;
  const std::string& name = holders[router.ahead_fruitless % holders.size()];
  const size_t holder = std::stoul(name.substr(name.find('-') + 1));
  ++result_.questions;
  ++result_.loan_questions;
  if (IsAmple())
    ++result_.ample_questions;
  router.is_asking_ahead = true;
  const auto end = [=, this](TransferAnswer answer) {
    AtRouter(index, now_ + settings_.one_way, [=, this] {
      Router& borrower = routers_[index];
      borrower.is_asking_ahead = false;
      const bool is_given = answer.tokens > 0;
      borrower.ahead_fruitless = is_given ? 0 : borrower.ahead_fruitless + 1;
      borrower.ahead_next =
          now_ + (is_given ? kReplayLoanInterval : kReplayLoanPause);
      borrower.book->ObserveUsed(kReplayWorkspace, answer.used);
      borrower.book->ObserveLoan(kReplayWorkspace, answer.loan);
      borrower.book->ReceiveTransfer(kReplayWorkspace, answer.tokens);
      ServeWaiting(index);
    });
  };
  if (routers_[holder].book == nullptr)
    return AtRouter(index, now_ + kReplayCallTimeout, [this, index] {
      routers_[index].is_asking_ahead = false;
      ++routers_[index].ahead_fruitless;
    });
  AtRouter(holder, now_ + settings_.one_way,
           [=, this] { Give(holder, *question, now_, end); });
}

inline void Replay::EndRound(size_t asker) {
  Router& router = routers_[asker];
  router.rounds_ended = router.rounds_begun;
  if (router.is_answered && !router.is_given)
    router.left_until = now_ + kReplayLeftKnownFor;
  ServeWaiting(asker);
}

inline void Replay::Give(size_t holder,
                         const TransferQuestion& wanted,
                         absl::Duration end,
                         std::function<void(TransferAnswer)> answer) {
  TotalsBook& book = *routers_[holder].book;
  const int64_t given = book.TransferOut(wanted, now_);
  const TotalState state = book.state(kReplayWorkspace, now_);
  const bool may_grow = book.IsHolder(kReplayWorkspace) && wanted.needed > 0 &&
                        state.available + state.unassigned >= wanted.needed;
  if (given == 0 && may_grow && now_ < end) {
    book.AddLending(kReplayWorkspace, wanted.wanted);
    SyncLevel(holder, false);
    SyncAuthority(holder);
    AtRouter(holder, now_ + kReplayTick, [=, this] {
      routers_[holder].book->RemoveLending(kReplayWorkspace, wanted.wanted);
      Give(holder, wanted, end, answer);
    });
    return;
  }
  answer({.tokens = given,
          .left = state.total - state.committed,
          .used = state.used,
          .loan = book.LoanFor(wanted, now_)});
}

inline void Replay::ReadRecords(size_t index) {
  Router& router = routers_[index];
  for (; router.read < static_cast<int64_t>(authorities_.size());
       ++router.read) {
    if (authorities_[router.read].router != router.name)
      router.book->ApplyAuthority(authorities_[router.read]);
  }
  router.book->ObserveAuthoritiesRead(router.read);
  const absl::Duration interval =
      std::max(kReplayRecordInterval,
               absl::Milliseconds(40) * static_cast<int64_t>(routers_.size()));
  if (now_ - router.levels_read < interval)
    return;
  router.levels_read = now_;
  for (const auto& [name, record] : levels_) {
    if (name != router.name)
      router.book->ApplyLevel(record);
  }
}

inline void Replay::SyncAuthority(size_t index) {
  Router& router = routers_[index];
  const absl::Duration gap =
      absl::Milliseconds(static_cast<int64_t>(routers_.size()));
  if (router.is_putting_authority || now_ - router.authority_put < gap ||
      IsStoreAway())
    return;
  ReadRecords(index);
  if (!router.book->NeedsAuthorityRecord(now_))
    return;
  router.is_putting_authority = true;
  router.authority_put = now_;
  const fb::AuthorityRecordT record = router.book->MakeAuthority(now_);
  const int64_t read = router.read;
  At(now_ + settings_.store_call / 2, [=, this] {
    const bool is_put = read == static_cast<int64_t>(authorities_.size());
    if (is_put)
      authorities_.push_back(record);
    AtRouter(index, now_ + settings_.store_call / 2, [=, this] {
      Router& writer = routers_[index];
      writer.is_putting_authority = false;
      if (is_put) {
        writer.book->ObserveAuthoritiesRead(read + 1);
        writer.book->OnAuthorityDurable();
      } else {
        writer.book->OnAuthorityRefused();
      }
      if (!is_put)
        writer.authority_put = -absl::InfiniteDuration();
      ServeWaiting(index);
    });
  });
}

inline void Replay::SyncLevel(size_t index, bool is_due) {
  Router& router = routers_[index];
  const absl::Duration gap =
      absl::Microseconds(400) * static_cast<int64_t>(routers_.size());
  const bool is_written = router.level_written > absl::ZeroDuration();
  if (router.is_putting_level || now_ - router.level_put < gap || IsStoreAway())
    return;
  if (!router.book->NeedsLevelRecord(now_) && !(is_due && is_written))
    return;
  router.is_putting_level = true;
  router.level_put = now_;
  const fb::LevelRecordT record = router.book->MakeLevel(now_);
  At(now_ + settings_.store_call / 2, [=, this] {
    levels_[record.router] = record;
    AtRouter(index, now_ + settings_.store_call / 2, [=, this] {
      Router& writer = routers_[index];
      writer.is_putting_level = false;
      writer.level_written = now_;
      writer.book->OnLevelDurable();
      ServeWaiting(index);
    });
  });
}

inline void Replay::HandOver(size_t index) {
  Router& router = routers_[index];
  AtRouter(index, now_ + kReplayReturnInterval,
           [this, index] { HandOver(index); });
  AskAhead(index);
  const auto holders = router.book->OtherHolders(kReplayWorkspace);
  if (holders.empty())
    return;
  const std::string& name = holders.front();
  const size_t holder = std::stoul(name.substr(name.find('-') + 1));
  if (routers_[holder].book == nullptr)
    return;
  const int64_t excess =
      router.book->TakeExcessTransfers(kReplayWorkspace, now_);
  if (excess == 0)
    return;
  ++result_.hand_overs;
  AtRouter(holder, now_ + settings_.one_way, [this, holder, excess] {
    routers_[holder].book->ReceiveTransfer(kReplayWorkspace, excess);
    ServeWaiting(holder);
  });
}

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_TOTALS_TOTALS_REPLAY_ROUTERS_IMPL_H_
