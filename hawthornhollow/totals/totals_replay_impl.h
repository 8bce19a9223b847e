#ifndef HAWTHORNHOLLOW_TOTALS_TOTALS_REPLAY_IMPL_H_
#define HAWTHORNHOLLOW_TOTALS_TOTALS_REPLAY_IMPL_H_

// Implementation of totals_replay.h.

#include <algorithm>
#include <limits>
#include <sstream>

#include "hawthornhollow/totals/totals_replay_routers_impl.h"

namespace hawthornhollow {

inline std::string DescribeReplay(const std::string& name,
                                  const ReplayResult& result) {
  std::ostringstream line;
  line << name << ": " << result.placed << " of " << result.requests
       << " placed, 402 " << result.final_refusals << " (wrong "
       << result.wrong_final_refusals << "), 503 " << result.refusals
       << " (with a tenth left " << result.refusals_with_a_tenth_left
       << "), questions " << result.questions
       << " (a placed request with a tenth left "
       << result.QuestionsPerRequest() << ")"
       << ", for loans " << result.loan_questions << ", hand-overs "
       << result.hand_overs << ", used " << result.used << ", peak "
       << result.peak << ", charged " << result.charged << " after "
       << result.kills << " kills, idle loans " << result.idle_loans
       << ", lost " << result.lost_loans << ", lost with "
       << "requests " << result.spent_by_killed << ", left " << result.left
       << ", of it not at hand " << result.stranded;
  return line.str();
}

inline Replay::Replay(const ReplaySettings& settings)
    : settings_(settings),
      random_(settings.seed),
      now_(kReplayStart),
      routers_(settings.routers) {
  for (size_t i = 0; i < routers_.size(); ++i)
    routers_[i].name = "router-" + std::to_string(i);
}

inline Replay::~Replay() = default;

inline void Replay::At(absl::Duration time, std::function<void()> task) {
  events_.emplace(std::max(time, now_), std::move(task));
}

inline void Replay::AtRouter(size_t index,
                             absl::Duration time,
                             std::function<void()> task) {
  const uint64_t incarnation = routers_[index].incarnation;
  At(time, [this, index, incarnation, task = std::move(task)] {
    const Router& router = routers_[index];
    if (router.book != nullptr && router.incarnation == incarnation)
      task();
  });
}

inline double Replay::Uniform(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

inline int64_t Replay::Left() const {
  return settings_.total - result_.used - result_.spent_by_killed -
         in_progress_;
}

inline bool Replay::IsStoreAway() const {
  const absl::Duration begin = kReplayBegin + settings_.store_away_after;
  return now_ >= begin && now_ < begin + settings_.store_away;
}

inline void Replay::Run() {
  // A router starts when those before it have written their records.
  for (size_t i = 0; i < routers_.size(); ++i)
    At(now_ + i * absl::Milliseconds(30), [this, i] { Start(i); });
  const absl::Duration end = kReplayBegin + settings_.length;
  At(kReplayBegin, [this] {
    ScheduleArrival();
    ScheduleKill();
  });
  while (!events_.empty() && events_.begin()->first < end) {
    auto event = events_.extract(events_.begin());
    now_ = event.key();
    event.mapped()();
    result_.peak = std::max(
        result_.peak, result_.used + result_.spent_by_killed + in_progress_);
  }
  int64_t in_reach = 0;
  for (const Router& router : routers_) {
    if (router.book != nullptr)
      in_reach += router.book->state(kReplayWorkspace, now_).available;
  }
  result_.left = Left();
  if (settings_.policy != ReplayPolicy::kExact)
    result_.stranded = result_.left - in_reach;
}

inline void Replay::ScheduleArrival() {
  const absl::Duration gap =
      absl::Seconds(std::exponential_distribution<double>(
          settings_.requests_per_second)(random_));
  const absl::Duration pause_begin = kReplayBegin + settings_.pause_after;
  absl::Duration next = now_ + gap;
  if (now_ < pause_begin && next >= pause_begin)
    next += settings_.pause;
  At(next, [this] {
    const size_t index =
        std::uniform_int_distribution<size_t>(0, routers_.size() - 1)(random_);
    Arrive(index, NewRequest());
    ScheduleArrival();
  });
}

inline void Replay::ScheduleKill() {
  if (settings_.mean_time_between_kills == absl::InfiniteDuration())
    return;
  const absl::Duration gap = settings_.mean_time_between_kills *
                             std::exponential_distribution<double>(1)(random_);
  At(now_ + gap, [this] {
    Kill(
        std::uniform_int_distribution<size_t>(0, routers_.size() - 1)(random_));
    ScheduleKill();
  });
}

inline Replay::Request Replay::NewRequest() {
  const double prompt = Uniform(500, 3000);
  const double output = Uniform(500, 4000);
  return {.tokens = static_cast<int64_t>(prompt + output),
          .used = static_cast<int64_t>(prompt + output * Uniform(0.1, 0.9)),
          .until_begin = absl::Milliseconds(Uniform(200, 600)),
          .until_end = absl::Seconds(Uniform(1, 8))};
}

inline void Replay::Start(size_t index) {
  Router& router = routers_[index];
  TotalsOptions options = settings_.options;
  options.spent_by_use = true;
  if (settings_.policy == ReplayPolicy::kEarlier) {
    options.loan_share = std::numeric_limits<int32_t>::max();
    options.loan_horizon = absl::ZeroDuration();
  }
  options.router = router.name;
  options.boot = "boot";
  options.address = router.name;
  options.failure_domain = std::to_string(index % 3);
  router = Router{.name = router.name, .incarnation = router.incarnation};
  router.book = std::make_unique<TotalsBook>(options);
  router.book->SetTotal(kReplayWorkspace, settings_.total, now_);
  const absl::Time time_of_day = absl::FromUnixSeconds(1'700'000'000) + now_;
  router.book->ObserveTimeOfDay(time_of_day, now_);
  ReadRecords(index);
  RouterRecords previous;
  for (const fb::AuthorityRecordT& record : authorities_) {
    if (record.router == router.name)
      previous.authority = record;
  }
  const auto level = levels_.find(router.name);
  if (level != levels_.end())
    previous.level = level->second;
  const auto inherited = router.book->Start(
      previous,
      {.boot = "boot", .boot_time = now_, .time_of_day = time_of_day});
  for (const InheritedCharge& charge : inherited)
    result_.charged += charge.charged - charge.recorded;
  Tick(index);
  AtRouter(index, now_ + Uniform(0, 1) * kReplayReturnInterval,
           [this, index] { HandOver(index); });
}

inline void Replay::Kill(size_t index) {
  Router& router = routers_[index];
  if (router.book == nullptr)
    return;
  ++result_.kills;
  for (const auto& [id, running] : router.running) {
    in_progress_ -= running.request.tokens;
    if (running.committed)
      result_.spent_by_killed += running.request.tokens;
  }
  if (!router.book->IsHolder(kReplayWorkspace))
    result_.lost_loans += router.book->state(kReplayWorkspace, now_).available;
  ++router.incarnation;
  router.book.reset();
  router.running.clear();
  router.waiting.clear();
  At(now_ + settings_.downtime, [this, index] { Start(index); });
}

inline void Replay::Arrive(size_t index, Request request) {
  if (routers_[index].book == nullptr)
    return;
  ++result_.requests;
  request.arrived = now_;
  if (settings_.policy == ReplayPolicy::kExact) {
    if (Left() < request.tokens)
      return RefuseFinally(request.tokens);
    ++result_.placed;
    in_progress_ += request.tokens;
    AtRouter(index, now_ + request.until_begin + request.until_end,
             [this, request] {
               in_progress_ -= request.tokens;
               result_.used += request.used;
             });
    return;
  }
  Router& router = routers_[index];
  router.book->ObserveDemand(kReplayWorkspace, request.tokens, now_);
  if (router.waiting.empty() && TryPlace(index, request))
    return AskAhead(index);
  router.book->AddWaiting(kReplayWorkspace, request.tokens);
  router.waiting.push_back(request);
  ServeWaiting(index);
}

inline void Replay::Tick(size_t index) {
  Router& router = routers_[index];
  ServeWaiting(index);
  SyncLevel(index, now_ - router.level_put >= kReplayRecordInterval);
  SyncAuthority(index);
  if (index == 0)
    result_.idle_loans = std::max(result_.idle_loans, IdleLoans());
  AtRouter(index, now_ + kReplayTick, [this, index] { Tick(index); });
}

inline bool Replay::TryPlace(size_t index, const Request& request) {
  Router& router = routers_[index];
  const auto reservation =
      router.book->Reserve(kReplayWorkspace, request.tokens, now_);
  if (!reservation.has_value())
    return false;
  ++result_.placed;
  if (IsAmple())
    ++result_.ample_placed;
  in_progress_ += request.tokens;
  const uint64_t id = ++last_id_;
  router.running[id] = {.request = request, .reservation = *reservation};
  AtRouter(index, now_ + request.until_begin,
           [this, index, id] { Begin(index, id); });
  return true;
}

inline bool Replay::IsFinallyRefused(const Router& router,
                                     int64_t tokens,
                                     bool has_asked) const {
  if (settings_.policy == ReplayPolicy::kBooks)
    return router.book->IsSpent(kReplayWorkspace, tokens);
  const TotalState state = router.book->state(kReplayWorkspace, now_);
  const bool is_holder = router.book->IsHolder(kReplayWorkspace);
  // Only routers that are not holders have tokens outside their quota.
  const int64_t transfers = is_holder ? 0 : state.available;
  return state.total - state.committed + transfers < tokens ||
         (has_asked && !is_holder && router.left > 0 && router.left < tokens);
}

inline void Replay::RefuseFinally(int64_t tokens) {
  ++result_.final_refusals;
  if (Left() >= tokens)
    ++result_.wrong_final_refusals;
}

inline void Replay::Refuse() {
  ++result_.refusals;
  if (IsAmple())
    ++result_.refusals_with_a_tenth_left;
}

inline bool Replay::IsAmpleFor(const Router& router) const {
  return settings_.policy == ReplayPolicy::kBooks &&
         router.book->IsAmple(kReplayWorkspace) &&
         (router.is_answered || !router.holder_silent ||
          router.book->IsHolder(kReplayWorkspace));
}

// Only the first request asks; each is refused in its own time.
inline void Replay::ServeWaiting(size_t index) {
  Router& router = routers_[index];
  const auto remove = [&](size_t at) {
    router.book->RemoveWaiting(kReplayWorkspace, router.waiting[at].tokens);
    router.waiting.erase(router.waiting.begin() + static_cast<int64_t>(at));
  };
  while (!router.waiting.empty()) {
    Request& first = router.waiting.front();
    const absl::Duration waited = now_ - first.arrived;
    const bool has_asked =
        first.round > 0 && router.rounds_ended >= first.round;
    const bool may_be_given =
        settings_.policy == ReplayPolicy::kEarlier ||
        (router.book->Uncommitted(kReplayWorkspace) >= first.tokens &&
         (now_ >= router.left_until || router.left >= first.tokens));
    const bool is_ample = IsAmpleFor(router);
    const bool is_refused = (has_asked || !may_be_given) &&
                            waited >= kReplayPatience &&
                            !router.holder_silent && !is_ample;
    if (TryPlace(index, first)) {
      remove(0);
    } else if (IsFinallyRefused(router, first.tokens, is_refused)) {
      RefuseFinally(first.tokens);
      remove(0);
    } else if (waited >= (is_ample ? kReplayAmpleTimeout : kReplayTimeout) ||
               is_refused) {
      Refuse();
      remove(0);
    } else {
      if (first.round == 0)
        first.round = router.rounds_begun + 1;
      if (may_be_given)
        StartAsking(index);
      break;
    }
  }
  for (size_t i = router.waiting.size(); i > 1; --i) {
    if (now_ - router.waiting[i - 1].arrived >=
        (IsAmpleFor(router) ? kReplayAmpleTimeout : kReplayTimeout)) {
      Refuse();
      remove(i - 1);
    }
  }
}

inline void Replay::Begin(size_t index, uint64_t id) {
  Router& router = routers_[index];
  Running& running = router.running.at(id);
  running.committed = router.book->Commit(running.reservation, now_);
  if (!running.committed) {
    router.book->AddCommitting(running.reservation);
    SyncLevel(index, false);
    router.book->RemoveCommitting(running.reservation);
    return AtRouter(index, now_ + kReplayTick,
                    [this, index, id] { Begin(index, id); });
  }
  AtRouter(index, now_ + running.request.until_end,
           [this, index, id] { End(index, id); });
}

inline void Replay::End(size_t index, uint64_t id) {
  Router& router = routers_[index];
  const Running running = router.running.at(id);
  router.running.erase(id);
  router.book->Settle(running.reservation, running.request.used);
  in_progress_ -= running.request.tokens;
  result_.used += running.request.used;
  ServeWaiting(index);
}

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_TOTALS_TOTALS_REPLAY_IMPL_H_
