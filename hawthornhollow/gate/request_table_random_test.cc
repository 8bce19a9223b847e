// Calls RequestTable with random events of several routers and compares it with
// a simple reference model that never discards any bytes or events.

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"
#include "hawthornhollow/gate/request_table.h"

namespace hawthornhollow {
namespace {

constexpr int kMaxFence = 20;
constexpr int kSeeds = 40;
constexpr int kSteps = 3'000;
constexpr int kRouters = 3;
constexpr int kRequests = 25;
constexpr char kAnswerNotStored[] = "answer no longer kept";

// The state of one run in the reference model.
struct ReferenceRun {
  std::string request;
  std::string router;
  std::string body;
  bool ended = false;
  fb::EndKind kind = fb::EndKind::Completed;
};

// The Data frames received for one (link, request, attempt), by sequence.
struct Received {
  std::map<int64_t, std::string> pieces;
};

class RequestTableRandomTest : public ::testing::TestWithParam<int> {
 protected:
  RequestTableRandomTest() : seed_{GetParam()}, generator_(seed_) {
    RequestTableOptions options;
    options.slots = 6;
    options.max_queued = 2;
    options.replay_bytes = 4'000;
    table_ = std::make_unique<RequestTable>(SidecarIdentity{"g", "gate-a", "s"},
                                            options);
    for (int i = 0; i < kRouters; ++i) {
      Reconnect(i);
    }
  }

  int RandomBelow(int below) { return absl::Uniform(generator_, 0, below); }

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
    now_ += absl::Milliseconds(RandomBelow(400));
    const int router = RandomBelow(kRouters);
    switch (RandomBelow(12)) {
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
        return DisconnectRouter(router);
      default:
        CheckActions(table_->Tick(now_));
    }
  }

  std::string RandomRequest() {
    return absl::StrCat("r", RandomBelow(kRequests));
  }

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
      dispatch.fence = 1 + RandomBelow(kMaxFence);
    }
    CheckActions(table_->OnDispatch(links_[router], dispatch, now_));
  }

  void Attach(int router) {
    fb::AttachT attach;
    attach.request = RandomRequest();
    attach.attempt = ++attempts_;
    attach.router = Router(router);
    attach.from_sequence = RandomBelow(4);
    attach.budget = "b";
    attach.fence = IsService(attach.request) ? 1 + RandomBelow(kMaxFence) : 0;
    attach_fence_ = attach.fence;
    CheckActions(table_->OnAttach(links_[router], attach));
  }

  void Cancel(int router) {
    fb::CancelT cancel;
    cancel.request = RandomRequest();
    cancel.attempt = attempts_ - RandomBelow(5);
    CheckActions(table_->OnCancel(links_[router], cancel));
  }

  // Sends data of a random run. The run may have ended; its data is then late
  // and must be ignored.
  void Data() {
    if (runs_.empty()) {
      return;
    }
    const int64_t run = 1 + RandomBelow(static_cast<int>(runs_.size()));
    const std::string bytes(1 + RandomBelow(40),
                            static_cast<char>('a' + RandomBelow(26)));
    ReferenceRun& reference = runs_[run];
    if (!reference.ended) {
      reference.body += bytes;
    }
    CheckActions(table_->OnHead(run, 200, ""));
    CheckActions(table_->OnData(run, bytes));
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
    const int64_t run = open[RandomBelow(static_cast<int>(open.size()))];
    RunEnd end;
    end.kind = static_cast<fb::EndKind>(RandomBelow(5));
    end.prompt_tokens = RandomBelow(40);
    end.output_tokens = RandomBelow(40);
    runs_[run].ended = true;
    runs_[run].kind = end.kind;
    CheckActions(table_->OnEnd(run, end, now_));
  }

  void Bills() {
    for (const DueBill& due : table_->TakeDueBills(now_, RandomBelow(4) == 0)) {
      const ReferenceRun& run = runs_[due.run];
      EXPECT_TRUE(run.ended);
      EXPECT_EQ(due.bill.request, run.request);
      EXPECT_EQ(due.bill.incarnation, run.router);
      EXPECT_LE(due.bill.charged_tokens, 50);
      EXPECT_NE(run.kind, fb::EndKind::NotRun);
      EXPECT_TRUE(billed_runs_.insert(due.run).second) << "billed twice";
      in_flight_.push_back(due);
    }
    while (!in_flight_.empty() && RandomBelow(2) == 0) {
      table_->OnBilled(in_flight_.back());
      in_flight_.pop_back();
    }
  }

  void DisconnectRouter(int router) {
    table_->OnLinkClosed(links_[router].id, now_);
    Reconnect(router);
  }

  void CheckActions(const SidecarActions& actions) {
    for (const SidecarAction& action : actions) {
      if (const auto* start = std::get_if<StartRunAction>(&action)) {
        CheckStart(*start);
      } else if (const auto* stop = std::get_if<StopRunAction>(&action)) {
        EXPECT_FALSE(IsService(stop->request)) << "service stopped";
        EXPECT_FALSE(runs_[stop->run].ended);
      } else {
        CheckSend(std::get<SendFrameAction>(action));
      }
    }
    EXPECT_LE(table_->kept_bytes(), 4'000);
    EXPECT_LE(table_->running(), 8);
  }

  void CheckStart(const StartRunAction& start) {
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
    const auto told = reported_unknown_.find(request);
    if (told != reported_unknown_.end() && IsService(request)) {
      EXPECT_GT(start.dispatch.fence, told->second) << "delayed dispatch ran";
    }
    EXPECT_EQ(start.run, static_cast<int64_t>(runs_.size()) + 1);
    ReferenceRun& started = runs_[start.run];
    started.request = request;
    started.router = start.dispatch.router;
    latest_run_[request] = start.run;
  }

  void CheckSend(const SendFrameAction& send) {
    if (const auto* data = send.frame.body.AsData()) {
      const std::string piece(data->bytes.begin(), data->bytes.end());
      Received& received = received_[{send.link, data->request, data->attempt}];
      received.pieces[data->sequence] = piece;
      // Every piece belongs to the answer of the request's latest run.
      EXPECT_NE(runs_[latest_run_[data->request]].body.find(piece),
                std::string::npos);
    }
    const auto* refused = send.frame.body.AsRefused();
    if (refused != nullptr &&
        refused->reason == fb::RefusalReason::UnknownRequest) {
      EXPECT_FALSE(latest_run_.contains(refused->request));
      int64_t& told = reported_unknown_[refused->request];
      told = std::max(told, attach_fence_);
    }
    if (const auto* end = send.frame.body.AsEnd()) {
      CheckEnd(send.link, *end);
    }
  }

  // A receiver of every piece must hold the whole body of the latest run.
  void CheckEnd(int64_t link, const fb::EndT& end) {
    const ReferenceRun& run = runs_[latest_run_[end.request]];
    EXPECT_EQ(end.bytes, static_cast<int64_t>(run.body.size()));
    if (!run.ended) {
      EXPECT_EQ(end.kind, fb::EndKind::Unknown);
      return;
    }
    if (end.detail == kAnswerNotStored) {
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
    complete_answers_ += body.empty() ? 0 : 1;
  }

  std::seed_seq seed_;
  absl::BitGen generator_;
  std::unique_ptr<RequestTable> table_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  std::map<int, RouterLink> links_;
  int64_t next_link_ = 1;
  int32_t attempts_ = 0;
  std::map<int64_t, ReferenceRun> runs_;
  std::map<std::string, int64_t> latest_run_;
  std::map<std::tuple<int64_t, std::string, int32_t>, Received> received_;
  // By request: the highest fence named by an Attach frame that was answered
  // UnknownRequest.
  std::map<std::string, int64_t> reported_unknown_;
  int64_t attach_fence_ = 0;
  std::set<int64_t> billed_runs_;
  std::vector<DueBill> in_flight_;
  int complete_answers_ = 0;
};

TEST_P(RequestTableRandomTest, RandomEventsAgreeWithReferenceModel) {
  for (int i = 0; i < kSteps && !HasFailure(); ++i) {
    Step();
  }
  EXPECT_GT(runs_.size(), 20u);
  EXPECT_GT(complete_answers_, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         RequestTableRandomTest,
                         ::testing::Range(0, kSeeds));

}  // namespace
}  // namespace hawthornhollow
