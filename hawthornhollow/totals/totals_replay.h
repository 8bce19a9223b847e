#ifndef HAWTHORNHOLLOW_TOTALS_TOTALS_REPLAY_H_
#define HAWTHORNHOLLOW_TOTALS_TOTALS_REPLAY_H_

// Replays one workspace's requests over many routers without a network, for
// tests that compare policies: the books' own, the one before tokens were
// obtained ahead of demand, and a single exact counter that sees everything.
//
//   Replay replay({.routers = 30, .total = 8'770'000});
//   replay.Run();
//   const ReplayResult result = replay.result();
//
// Routers wait, ask holders and write records as TotalsController and
// RecordSynchronizer do. Calls to the store and between routers take a time.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "hawthornhollow/totals/totals.h"

namespace hawthornhollow {

enum class ReplayPolicy {
  kBooks,    // as TotalsController decides
  kEarlier,  // 402 as soon as records show the total as committed
  kExact,    // one counter of used tokens and requests in progress
};

struct ReplaySettings {
  uint64_t seed = 1;
  ReplayPolicy policy = ReplayPolicy::kBooks;
  size_t routers = 30;
  int64_t total = 8'770'000;
  double requests_per_second = 60;  // over all routers
  absl::Duration length = absl::Seconds(60);
  // No requests arrive for a time.
  absl::Duration pause_after = absl::InfiniteDuration();
  absl::Duration pause;
  // Of a call from one router to another, queues of the links included.
  absl::Duration one_way = absl::Milliseconds(1);
  absl::Duration store_call = absl::Milliseconds(8);
  // A router is killed, or its VM loses power, at this mean interval.
  absl::Duration mean_time_between_kills = absl::InfiniteDuration();
  absl::Duration downtime = absl::Seconds(1.5);
  // The store is unreachable for all for a time.
  absl::Duration store_away_after = absl::InfiniteDuration();
  absl::Duration store_away;
  TotalsOptions options;
};

struct ReplayResult {
  int64_t requests = 0;
  int64_t placed = 0;
  int64_t final_refusals = 0;  // 402
  // Of them: used tokens and requests in progress left enough at that time.
  int64_t wrong_final_refusals = 0;
  int64_t refusals = 0;  // 503
  // Of them: a tenth or more of the total was left.
  int64_t refusals_with_a_tenth_left = 0;
  int64_t questions = 0;  // to holders
  // While a tenth or more of the total was left.
  int64_t ample_placed = 0;
  int64_t ample_questions = 0;
  int64_t loan_questions = 0;  // of the questions: while no request waited
  int64_t hand_overs = 0;
  int64_t idle_loans = 0;  // of all borrowers together, when highest
  int64_t lost_loans = 0;  // of killed borrowers
  int64_t kills = 0;
  // Used, and in progress at the worst case, when it was highest.
  int64_t peak = 0;
  int64_t used = 0;             // at the end
  int64_t charged = 0;          // by starting routers, beyond their records
  int64_t spent_by_killed = 0;  // of requests in progress at killed routers
                                // of the total at the end, in no book's reach
  int64_t left = 0;             // at the end, by the exact counter
  int64_t stranded = 0;         // of it, in no book's reach

  // While a tenth or more of the total was left.
  double QuestionsPerRequest() const {
    return ample_placed == 0
               ? 0
               : static_cast<double>(ample_questions) / ample_placed;
  }
};

std::string DescribeReplay(const std::string& name, const ReplayResult& result);

class Replay {
 public:
  explicit Replay(const ReplaySettings& settings);
  ~Replay();
  void Run();
  const ReplayResult& result() const { return result_; }

 private:
  struct Request {
    int64_t tokens = 0;
    int64_t used = 0;
    absl::Duration arrived;
    absl::Duration until_begin;
    absl::Duration until_end;
    uint64_t round = 0;  // of asking, begun for this request
  };
  struct Running {
    Request request;
    Reservation reservation;
    bool committed = false;
  };
  struct Router {
    std::string name;
    std::unique_ptr<TotalsBook> book;
    uint64_t incarnation = 0;
    std::vector<Request> waiting;
    std::map<uint64_t, Running> running;
    uint64_t rounds_begun = 0;
    uint64_t rounds_ended = 0;
    absl::Duration next_round;
    bool holder_silent = false;
    int64_t left = 0;  // of the total, as holders said in the last round
    bool is_answered = false;  // in the last round
    bool is_given = false;
    absl::Duration left_until;  // not asked for more until then
    bool is_asking_ahead = false;
    absl::Duration ahead_next;
    size_t ahead_fruitless = 0;
    int64_t read = 0;  // offset of the authority log
    bool is_putting_authority = false;
    bool is_putting_level = false;
    absl::Duration level_written;
    absl::Duration level_put;
    absl::Duration authority_put;
    absl::Duration levels_read = -absl::InfiniteDuration();
  };
  struct Question {
    size_t asker;
    uint64_t incarnation;
    std::vector<std::string> holders;  // not asked yet
  };

  void At(absl::Duration time, std::function<void()> task);
  // Runs `task` unless the router has ended since.
  void AtRouter(size_t index, absl::Duration time, std::function<void()> task);
  double Uniform(double low, double high);
  int64_t Left() const;  // of the total, by the exact counter
  bool IsStoreAway() const;
  bool IsAmple() const { return Left() >= settings_.total / 10; }

  void Start(size_t index);
  void Kill(size_t index);
  void ScheduleArrival();
  void ScheduleKill();
  Request NewRequest();
  void Arrive(size_t index, Request request);
  void Tick(size_t index);
  void ServeWaiting(size_t index);
  bool TryPlace(size_t index, const Request& request);
  bool IsFinallyRefused(const Router& router,
                        int64_t tokens,
                        bool has_asked) const;
  bool IsAmpleFor(const Router& router) const;
  void RefuseFinally(int64_t tokens);
  void Refuse();
  void Begin(size_t index, uint64_t id);
  void End(size_t index, uint64_t id);
  void StartAsking(size_t index);
  void AskAhead(size_t index);
  int64_t IdleLoans() const;  // at routers that are not holders
  void AskNext(Question question);
  void Give(size_t holder,
            const TransferQuestion& wanted,
            absl::Duration end,
            std::function<void(TransferAnswer)> answer);
  void EndRound(size_t asker);
  void ReadRecords(size_t index);
  void SyncAuthority(size_t index);
  void SyncLevel(size_t index, bool is_due);
  void HandOver(size_t index);

  const ReplaySettings settings_;
  std::mt19937_64 random_;
  absl::Duration now_;
  std::multimap<absl::Duration, std::function<void()>> events_;
  std::vector<Router> routers_;
  std::vector<fb::AuthorityRecordT> authorities_;
  std::map<std::string, fb::LevelRecordT> levels_;
  uint64_t last_id_ = 0;
  int64_t in_progress_ = 0;  // by the exact counter
  ReplayResult result_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_TOTALS_TOTALS_REPLAY_H_
