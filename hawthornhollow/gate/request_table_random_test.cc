// Drives the book with random events of several routers and checks it against
// an obvious reference, which keeps every byte and every event for ever.

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"
#include "hawthornhollow/gate/request_table.h"

namespace hawthornhollow {
namespace {

constexpr int kFences = 20;
constexpr int kSeeds = 40;
constexpr int kSteps = 3'000;
constexpr int kRouters = 3;
constexpr int kRequests = 25;
constexpr char kNoLongerKept[] = "answer no longer kept";

// What the reference knows of one run.
struct ReferenceRun {
  std::string request;
  std::string router;
  std::string body;
  bool ended = false;
  fb::EndKind kind = fb::EndKind::Completed;
};

// What one (link, request, attempt) has received.
struct Received {
  std::map<int64_t, std::string> pieces;
};

class GateBookRandomTest : public ::testing::TestWithParam<int> {
 protected:
  GateBookRandomTest() : seed_{GetParam()}, generator_(seed_) {
    GateBookOptions options;
    options.slots = 6;
    options.queue = 2;
    options.replay_bytes = 4'000;
    book_ =
        std::make_unique<GateBook>(GateIdentity{"g", "gate-a", "s"}, options);
    for (int i = 0; i < kRouters; ++i) {
      Reconnect(i);
    }
  }

  int Pick(int below) { return absl::Uniform(generator_, 0, below); }

  std::string Router(int i) const { return absl::StrCat("router-", i); }
  bool IsService(const std::string& request) const {
    return request.back() % 2 == 0;
  }

  void Reconnect(int router) {
    links_[router] = RouterLink{next_link_++, Router(router)};
  }

  std::string RouterOf(int64_t link) const {
    for (const auto& [router, open] : links_) {
      if (open.id == link) {
        return open.router;
      }
    }
    return "";
  }

  void Step() {
    now_ += absl::Milliseconds(Pick(400));
    const int router = Pick(kRouters);
    switch (Pick(12)) {
      case 0:
      case 1:
      case 2:
        return Dispatch(router);
      case 3:
        return Attach(router);
      case 4:
        return Cancel(router);
      case 5:
      case 6:
      case 7:
        return Data();
      case 8:
        return End();
      case 9:
        return Bills();
      case 10:
        return Drop(router);
      default:
        Check(book_->Tick(now_));
    }
  }

  std::string RandomRequest() { return absl::StrCat("r", Pick(kRequests)); }

  void Dispatch(int router) {
    fb::DispatchT dispatch;
    dispatch.request = RandomRequest();
    dispatch.attempt = ++attempts_;
    dispatch.router = Router(router);
    dispatch.budget = "b";
    dispatch.method = "POST";
    dispatch.target = "/";
    dispatch.reserved_tokens = 50;
    dispatch.kind = IsService(dispatch.request) ? fb::CallKind::Service
                                                : fb::CallKind::Chat;
    if (IsService(dispatch.request)) {
      dispatch.fence = 1 + Pick(kFences);
    }
    Check(book_->OnDispatch(links_[router], dispatch, now_));
  }

  void Attach(int router) {
    fb::AttachT attach;
    attach.request = RandomRequest();
    attach.attempt = ++attempts_;
    attach.router = Router(router);
    attach.from_sequence = Pick(4);
    attach.budget = "b";
    attach.fence = IsService(attach.request) ? 1 + Pick(kFences) : 0;
    asked_fence_ = attach.fence;
    Check(book_->OnAttach(links_[router], attach));
  }

  void Cancel(int router) {
    fb::CancelT cancel;
    cancel.request = RandomRequest();
    cancel.attempt = attempts_ - Pick(5);
    Check(book_->OnCancel(links_[router], cancel));
  }

  // Also of runs that have ended, as a late piece.
  void Data() {
    if (runs_.empty()) {
      return;
    }
    const int64_t run = 1 + Pick(static_cast<int>(runs_.size()));
    const std::string bytes(1 + Pick(40), static_cast<char>('a' + Pick(26)));
    ReferenceRun& reference = runs_[run];
    if (!reference.ended) {
      reference.body += bytes;
    }
    Check(book_->OnHead(run, 200, ""));
    Check(book_->OnData(run, bytes));
  }

  void End() {
    std::vector<int64_t> open;
    for (const auto& [run, reference] : runs_) {
      if (!reference.ended) {
        open.push_back(run);
      }
    }
    if (open.empty()) {
      return;
    }
    const int64_t run = open[Pick(static_cast<int>(open.size()))];
    RunEnd end;
    end.kind = static_cast<fb::EndKind>(Pick(5));
    end.prompt_tokens = Pick(40);
    end.output_tokens = Pick(40);
    runs_[run].ended = true;
    runs_[run].kind = end.kind;
    Check(book_->OnEnd(run, end, now_));
  }

  void Bills() {
    for (const DueBill& due : book_->TakeDueBills(now_, Pick(4) == 0)) {
      const ReferenceRun& run = runs_[due.run];
      EXPECT_TRUE(run.ended);
      EXPECT_EQ(due.bill.request, run.request);
      EXPECT_EQ(due.bill.incarnation, run.router);
      EXPECT_LE(due.bill.charged_tokens, 50);
      EXPECT_NE(run.kind, fb::EndKind::NotRun);
      EXPECT_TRUE(billed_.insert(due.run).second) << "billed twice";
      in_flight_.push_back(due);
    }
    while (!in_flight_.empty() && Pick(2) == 0) {
      book_->OnBilled(in_flight_.back());
      in_flight_.pop_back();
    }
  }

  void Drop(int router) {
    book_->OnLinkClosed(links_[router].id, now_);
    Reconnect(router);
  }

  void Check(const GateActions& actions) {
    for (const GateAction& action : actions) {
      if (const auto* start = std::get_if<StartAction>(&action)) {
        CheckStart(*start);
      } else if (const auto* stop = std::get_if<StopAction>(&action)) {
        EXPECT_FALSE(IsService(stop->request)) << "service stopped";
        EXPECT_FALSE(runs_[stop->run].ended);
      } else {
        CheckSend(std::get<SendAction>(action));
      }
    }
    EXPECT_LE(book_->kept_bytes(), 4'000);
    EXPECT_LE(book_->running(), 8);
  }

  void CheckStart(const StartAction& start) {
    const std::string& request = start.dispatch.request;
    for (const auto& [run, reference] : runs_) {
      if (reference.request != request) {
        continue;
      }
      EXPECT_TRUE(reference.ended) << "two runs of one key at once";
      const bool may_run_again =
          reference.kind == fb::EndKind::NotRun ||
          (!IsService(request) && reference.kind != fb::EndKind::Completed);
      EXPECT_TRUE(may_run_again) << request;
    }
    const auto told = told_unknown_.find(request);
    if (told != told_unknown_.end() && IsService(request)) {
      EXPECT_GT(start.dispatch.fence, told->second) << "delayed dispatch ran";
    }
    EXPECT_EQ(start.run, static_cast<int64_t>(runs_.size()) + 1);
    ReferenceRun& started = runs_[start.run];
    started.request = request;
    started.router = start.dispatch.router;
    latest_[request] = start.run;
  }

  void CheckSend(const SendAction& send) {
    if (const auto* data = send.frame.body.AsData()) {
      const std::string piece(data->bytes.begin(), data->bytes.end());
      Received& received = received_[{send.link, data->request, data->attempt}];
      received.pieces[data->sequence] = piece;
      // Every piece is a part of the key's latest run.
      EXPECT_NE(runs_[latest_[data->request]].body.find(piece),
                std::string::npos);
    }
    const auto* refused = send.frame.body.AsRefused();
    if (refused != nullptr &&
        refused->reason == fb::RefusalReason::UnknownRequest) {
      EXPECT_FALSE(latest_.contains(refused->request));
      int64_t& told = told_unknown_[refused->request];
      told = std::max(told, asked_fence_);
    }
    if (const auto* end = send.frame.body.AsEnd()) {
      CheckEnd(send.link, *end);
    }
  }

  // Whoever received every piece holds the whole body of the latest run.
  void CheckEnd(int64_t link, const fb::EndT& end) {
    const ReferenceRun& run = runs_[latest_[end.request]];
    EXPECT_EQ(end.bytes, static_cast<int64_t>(run.body.size()));
    if (!run.ended) {
      EXPECT_EQ(end.kind, fb::EndKind::Unknown);
      return;
    }
    if (end.detail == kNoLongerKept) {
      EXPECT_EQ(run.kind, fb::EndKind::Completed);
      EXPECT_EQ(end.kind, fb::EndKind::Unknown);
      return;
    }
    EXPECT_EQ(end.kind, run.kind);
    EXPECT_EQ(end.checksum, StableHash(run.body));
    const Received& received = received_[{link, end.request, end.attempt}];
    if (static_cast<int64_t>(received.pieces.size()) != end.sequence) {
      return;
    }
    std::string body;
    for (const auto& [sequence, piece] : received.pieces) {
      body += piece;
    }
    EXPECT_EQ(body, run.body);
    whole_ += body.empty() ? 0 : 1;
  }

  std::seed_seq seed_;
  absl::BitGen generator_;
  std::unique_ptr<GateBook> book_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  std::map<int, RouterLink> links_;
  int64_t next_link_ = 1;
  int32_t attempts_ = 0;
  std::map<int64_t, ReferenceRun> runs_;
  std::map<std::string, int64_t> latest_;
  std::map<std::tuple<int64_t, std::string, int32_t>, Received> received_;
  // The newest claim of a key that a router was told is unknown here.
  std::map<std::string, int64_t> told_unknown_;
  int64_t asked_fence_ = 0;
  std::set<int64_t> billed_;
  std::vector<DueBill> in_flight_;
  int whole_ = 0;
};

TEST_P(GateBookRandomTest, RandomEventsAgreeWithTheReference) {
  for (int i = 0; i < kSteps && !HasFailure(); ++i) {
    Step();
  }
  EXPECT_GT(runs_.size(), 20u);
  EXPECT_GT(whole_, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         GateBookRandomTest,
                         ::testing::Range(0, kSeeds));

}  // namespace
}  // namespace hawthornhollow
