#include "hawthornhollow/gate/request_table.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "absl/strings/str_cat.h"

namespace hawthornhollow {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

constexpr int64_t kReservedTokens = 100;

// Describes an action in one line.
std::string Describe(const SidecarAction& action) {
  if (const auto* start = std::get_if<StartRunAction>(&action)) {
    return absl::StrCat("start ", start->dispatch.request);
  }
  if (const auto* stop = std::get_if<StopRunAction>(&action)) {
    return absl::StrCat("stop ", stop->request);
  }
  const auto& send = std::get<SendFrameAction>(action);
  const fb::FrameBodyUnion& body = send.frame.body;
  const std::string to = absl::StrCat(send.link, ": ");
  if (const auto* refused = body.AsRefused()) {
    return absl::StrCat(to, "refused ",
                        fb::EnumNameRefusalReason(refused->reason));
  }
  if (const auto* head = body.AsHead()) {
    return absl::StrCat(to, "head ", head->status, " attempt ", head->attempt);
  }
  if (const auto* data = body.AsData()) {
    return absl::StrCat(to, "data ", data->sequence, " ",
                        std::string(data->bytes.begin(), data->bytes.end()));
  }
  if (const auto* end = body.AsEnd()) {
    return absl::StrCat(to, "end ", fb::EnumNameEndKind(end->kind), " ",
                        end->bytes);
  }
  return absl::StrCat(to, fb::EnumNameFrameBody(body.type));
}

std::vector<std::string> Describe(const SidecarActions& actions) {
  std::vector<std::string> lines;
  for (const SidecarAction& action : actions) {
    lines.push_back(Describe(action));
  }
  return lines;
}

fb::DispatchT MakeDispatch(const std::string& request,
                           const std::string& router,
                           int32_t attempt = 1) {
  fb::DispatchT dispatch;
  dispatch.request = request;
  dispatch.attempt = attempt;
  dispatch.router = router;
  dispatch.budget = "permits";
  dispatch.caller = "ward-7";
  dispatch.reserved_tokens = kReservedTokens;
  dispatch.method = "POST";
  dispatch.target = "/v1/chat/completions";
  return dispatch;
}

fb::DispatchT MakeServiceDispatch(const std::string& request,
                                  const std::string& router,
                                  int64_t fence,
                                  int32_t attempt = 1) {
  fb::DispatchT dispatch = MakeDispatch(request, router, attempt);
  dispatch.kind = fb::CallKind::Service;
  dispatch.fence = fence;
  return dispatch;
}

RunEnd MakeRunEnd(fb::EndKind kind, int64_t prompt = 0, int64_t output = 0) {
  RunEnd end;
  end.kind = kind;
  end.prompt_tokens = prompt;
  end.output_tokens = output;
  return end;
}

class RequestTableTest : public ::testing::Test {
 protected:
  RequestTableTest() { Reset(RequestTableOptions()); }

  void Reset(const RequestTableOptions& options) {
    table_ = std::make_unique<RequestTable>(
        SidecarIdentity{"sidecar-1", "gate-a", "engine-1"}, options);
  }

  std::vector<std::string> Dispatch(const RouterLink& link,
                                    const fb::DispatchT& dispatch) {
    const SidecarActions actions = table_->OnDispatch(link, dispatch, now_);
    for (const SidecarAction& action : actions) {
      if (const auto* start = std::get_if<StartRunAction>(&action)) {
        run_ = start->run;
      }
    }
    return Describe(actions);
  }

  // Starts a run of the request and ends it with `end`.
  void Finish(const RouterLink& link,
              const fb::DispatchT& dispatch,
              const RunEnd& end) {
    ASSERT_THAT(Dispatch(link, dispatch),
                ElementsAre("start " + dispatch.request));
    table_->OnEnd(run_, end, now_);
  }

  std::vector<std::string> End(fb::EndKind kind) {
    return Describe(table_->OnEnd(run_, MakeRunEnd(kind, 3, 4), now_));
  }

  const RouterLink link_a_{1, "router-a"};
  const RouterLink link_b_{2, "router-b"};
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  std::unique_ptr<RequestTable> table_;
  int64_t run_ = 0;
};

TEST_F(RequestTableTest, FramesOfRunAreSentToItsRouterInOrder) {
  Dispatch(link_a_, MakeDispatch("r1", "router-a"));
  EXPECT_THAT(Describe(table_->OnHead(run_, 200, "text/plain")),
              ElementsAre("1: head 200 attempt 1"));
  EXPECT_THAT(Describe(table_->OnData(run_, "ab")),
              ElementsAre("1: data 0 ab"));
  EXPECT_THAT(Describe(table_->OnData(run_, "c")), ElementsAre("1: data 1 c"));
  const SidecarActions actions =
      table_->OnEnd(run_, MakeRunEnd(fb::EndKind::Completed, 3, 4), now_);
  ASSERT_THAT(Describe(actions), ElementsAre("1: end Completed 3"));
  const fb::EndT* end =
      std::get<SendFrameAction>(actions[0]).frame.body.AsEnd();
  EXPECT_EQ(end->checksum, StableHash("abc"));
  EXPECT_EQ(end->sequence, 2);
  EXPECT_EQ(end->output_tokens, 4);
}

TEST_F(RequestTableTest, SecondDispatchOfRunningRequestReplaysAnswerFromStart) {
  Dispatch(link_a_, MakeServiceDispatch("r1", "router-a", 10));
  table_->OnHead(run_, 200, "");
  table_->OnData(run_, "ab");
  EXPECT_THAT(Dispatch(link_b_, MakeServiceDispatch("r1", "router-b", 10, 2)),
              ElementsAre("2: head 200 attempt 2", "2: data 0 ab"));
  EXPECT_THAT(Describe(table_->OnData(run_, "c")),
              ElementsAre("1: data 1 c", "2: data 1 c"));
  EXPECT_THAT(End(fb::EndKind::Completed),
              ElementsAre("1: end Completed 3", "2: end Completed 3"));
  EXPECT_EQ(table_->counters().runs, 1);
}

TEST_F(RequestTableTest, TwoAttemptsOfOneRouterBothReceiveTheAnswer) {
  Dispatch(link_a_, MakeDispatch("r1", "router-a", 1));
  table_->OnHead(run_, 200, "");
  fb::AttachT attach;
  attach.request = "r1";
  attach.attempt = 2;
  attach.router = "router-a";
  table_->OnAttach(link_a_, attach);
  EXPECT_THAT(Describe(table_->OnData(run_, "t0")),
              ElementsAre("1: data 0 t0", "1: data 0 t0"));
  EXPECT_THAT(End(fb::EndKind::Completed),
              ElementsAre("1: end Completed 2", "1: end Completed 2"));
}

TEST_F(RequestTableTest, EndedServiceCallIsReplayedWhetherCompletedOrUnknown) {
  for (fb::EndKind kind : {fb::EndKind::Completed, fb::EndKind::Unknown}) {
    Reset(RequestTableOptions());
    Finish(link_a_, MakeServiceDispatch("r1", "router-a", 10),
           MakeRunEnd(kind));
    EXPECT_THAT(
        Dispatch(link_b_, MakeServiceDispatch("r1", "router-b", 11, 2)),
        ElementsAre(absl::StrCat("2: end ", fb::EnumNameEndKind(kind), " 0")));
  }
}

TEST_F(RequestTableTest, RequestRunsAgainOnlyIfNoEffectCanHappenTwice) {
  struct Case {
    fb::CallKind kind;
    fb::EndKind end;
    bool runs_again;
  };
  const Case cases[] = {
      {fb::CallKind::Chat, fb::EndKind::Completed, false},
      {fb::CallKind::Chat, fb::EndKind::Cancelled, true},
      {fb::CallKind::Chat, fb::EndKind::BackendFailed, true},
      {fb::CallKind::Chat, fb::EndKind::Unknown, true},
      {fb::CallKind::Chat, fb::EndKind::NotRun, true},
      {fb::CallKind::Service, fb::EndKind::Completed, false},
      {fb::CallKind::Service, fb::EndKind::BackendFailed, false},
      {fb::CallKind::Service, fb::EndKind::Unknown, false},
      {fb::CallKind::Service, fb::EndKind::NotRun, true},
  };
  for (const Case& c : cases) {
    SCOPED_TRACE(absl::StrCat(fb::EnumNameCallKind(c.kind), " ",
                              fb::EnumNameEndKind(c.end)));
    Reset(RequestTableOptions());
    fb::DispatchT dispatch = MakeDispatch("r1", "router-a");
    dispatch.kind = c.kind;
    Finish(link_a_, dispatch, MakeRunEnd(c.end));
    dispatch.attempt = 2;
    const std::vector<std::string> lines = Dispatch(link_a_, dispatch);
    EXPECT_EQ(lines.front() == "start r1", c.runs_again) << lines.front();
  }
}

TEST_F(RequestTableTest, RepeatedAttemptReceivesTheSameEnd) {
  Finish(link_a_, MakeDispatch("r1", "router-a"),
         MakeRunEnd(fb::EndKind::Cancelled));
  EXPECT_THAT(Dispatch(link_a_, MakeDispatch("r1", "router-a")),
              ElementsAre("1: end Cancelled 0"));
}

TEST_F(RequestTableTest, EventsOfEarlierRunAreIgnored) {
  Finish(link_a_, MakeDispatch("r1", "router-a"),
         MakeRunEnd(fb::EndKind::Cancelled));
  const int64_t first = run_;
  Dispatch(link_a_, MakeDispatch("r1", "router-a", 2));
  ASSERT_NE(run_, first);
  EXPECT_THAT(table_->OnHead(first, 200, ""), IsEmpty());
  EXPECT_THAT(table_->OnData(first, "late"), IsEmpty());
  EXPECT_THAT(table_->OnEnd(first, MakeRunEnd(fb::EndKind::Completed), now_),
              IsEmpty());
  EXPECT_THAT(Describe(table_->OnData(run_, "new")),
              ElementsAre("1: data 0 new"));
}

TEST_F(RequestTableTest, MalformedDispatchIsRefused) {
  std::vector<fb::DispatchT> cases(6, MakeDispatch("r1", "router-a"));
  cases[0].request.clear();
  cases[1].router = "router-b";
  cases[2].budget.clear();
  cases[3].target = "http://elsewhere/";
  cases[4].reserved_tokens = -1;
  cases[5].method.clear();
  for (const fb::DispatchT& dispatch : cases) {
    EXPECT_THAT(Dispatch(link_a_, dispatch),
                ElementsAre("1: refused Malformed"));
  }
  EXPECT_EQ(table_->counters().runs, 0);
}

TEST_F(RequestTableTest, RequestKeyOfAnotherCallerIsRefused) {
  Finish(link_a_, MakeDispatch("r1", "router-a"),
         MakeRunEnd(fb::EndKind::Completed));
  fb::DispatchT other = MakeDispatch("r1", "router-b");
  other.caller = "ward-8";
  EXPECT_THAT(Dispatch(link_b_, other), ElementsAre("2: refused Malformed"));
}

TEST_F(RequestTableTest, OlderFenceIsRefused) {
  Dispatch(link_a_, MakeServiceDispatch("r1", "router-a", 10));
  EXPECT_THAT(Dispatch(link_b_, MakeServiceDispatch("r1", "router-b", 9)),
              ElementsAre("2: refused StaleFence"));
}

TEST_F(RequestTableTest, DispatchIsRefusedWhenSlotsAndQueueAreFull) {
  RequestTableOptions options;
  options.slots = 2;
  options.max_queued = 1;
  Reset(options);
  for (int i = 0; i < 3; ++i) {
    Dispatch(link_a_, MakeDispatch(absl::StrCat("r", i), "router-a"));
  }
  EXPECT_THAT(Dispatch(link_a_, MakeDispatch("r3", "router-a")),
              ElementsAre("1: refused Full"));
  EXPECT_EQ(table_->Load().running, 2);
  EXPECT_EQ(table_->Load().waiting, 1);
}

TEST_F(RequestTableTest, LeavingSidecarRefusesNewRequestsButReplaysKnownOnes) {
  Dispatch(link_a_, MakeDispatch("r1", "router-a"));
  table_->SetLeaving();
  EXPECT_THAT(Dispatch(link_a_, MakeDispatch("r2", "router-a")),
              ElementsAre("1: refused Leaving"));
  EXPECT_THAT(Dispatch(link_b_, MakeDispatch("r1", "router-b")), IsEmpty());
  EXPECT_THAT(End(fb::EndKind::Completed),
              ElementsAre("1: end Completed 0", "2: end Completed 0"));
}

TEST_F(RequestTableTest, AttachReplaysFromRequestedSequenceAndSubscribes) {
  Dispatch(link_a_, MakeDispatch("r1", "router-a"));
  table_->OnHead(run_, 200, "");
  for (const char* piece : {"a", "b", "c"}) {
    table_->OnData(run_, piece);
  }
  table_->OnLinkClosed(link_a_.id, now_);
  fb::AttachT attach;
  attach.request = "r1";
  attach.attempt = 1;
  attach.router = "router-a";
  attach.from_sequence = 2;
  const RouterLink reconnected{3, "router-a"};
  EXPECT_THAT(Describe(table_->OnAttach(reconnected, attach)),
              ElementsAre("3: head 200 attempt 1", "3: data 2 c"));
  EXPECT_THAT(Describe(table_->OnData(run_, "d")), ElementsAre("3: data 3 d"));
}

TEST_F(RequestTableTest, AttachToUnknownRequestIsRefused) {
  fb::AttachT attach;
  attach.request = "r1";
  EXPECT_THAT(Describe(table_->OnAttach(link_a_, attach)),
              ElementsAre("1: refused UnknownRequest"));
}

TEST_F(RequestTableTest,
       DispatchUnderClaimReportedUnknownToSameRouterIsRefused) {
  fb::AttachT attach;
  attach.request = "r1";
  attach.router = "router-a";
  attach.budget = "b";
  attach.fence = 10;
  EXPECT_THAT(Describe(table_->OnAttach(link_a_, attach)),
              ElementsAre("1: refused UnknownRequest"));
  EXPECT_THAT(Dispatch(link_a_, MakeServiceDispatch("r1", "router-a", 10)),
              ElementsAre("1: refused StaleFence"));
  EXPECT_THAT(Dispatch(link_a_, MakeServiceDispatch("r1", "router-a", 11)),
              ElementsAre("start r1"));
}

TEST_F(RequestTableTest,
       DelayedDispatchUnderClaimReportedUnknownToOtherRouterIsRefused) {
  fb::AttachT attach;
  attach.request = "r1";
  attach.router = "router-b";
  attach.budget = "b";
  attach.fence = 10;
  for (int i = 0; i < 2; ++i) {
    EXPECT_THAT(Describe(table_->OnAttach(link_b_, attach)),
                ElementsAre("2: refused UnknownRequest"));
  }
  EXPECT_THAT(Dispatch(link_a_, MakeServiceDispatch("r1", "router-a", 10)),
              ElementsAre("1: refused StaleFence"));
  EXPECT_THAT(Dispatch(link_b_, MakeServiceDispatch("r1", "router-b", 12)),
              ElementsAre("start r1"));
  EXPECT_THAT(Dispatch(link_a_, MakeServiceDispatch("r1", "router-a", 10)),
              ElementsAre("1: refused StaleFence"));
}

TEST_F(RequestTableTest, CancelStopsChatWhenNoOtherRouterIsSubscribed) {
  Dispatch(link_a_, MakeDispatch("r1", "router-a"));
  Dispatch(link_b_, MakeDispatch("r1", "router-b"));
  fb::CancelT cancel;
  cancel.request = "r1";
  cancel.attempt = 1;
  EXPECT_THAT(table_->OnCancel(link_a_, cancel), IsEmpty());
  EXPECT_THAT(Describe(table_->OnData(run_, "x")), ElementsAre("2: data 0 x"));
  EXPECT_THAT(Describe(table_->OnCancel(link_b_, cancel)),
              ElementsAre("stop r1"));
  EXPECT_THAT(table_->OnCancel(link_b_, cancel), IsEmpty());
  EXPECT_THAT(End(fb::EndKind::Cancelled),
              ElementsAre("1: end Cancelled 1", "2: end Cancelled 1"));
}

TEST_F(RequestTableTest, CancelNeverStopsServiceCall) {
  Dispatch(link_a_, MakeServiceDispatch("r1", "router-a", 10));
  fb::CancelT cancel;
  cancel.request = "r1";
  cancel.attempt = 1;
  EXPECT_THAT(table_->OnCancel(link_a_, cancel), IsEmpty());
}

TEST_F(RequestTableTest, OrphanedChatIsStoppedAfterTimeoutAndServiceCallIsNot) {
  Dispatch(link_a_, MakeDispatch("chat", "router-a"));
  Dispatch(link_a_, MakeServiceDispatch("order", "router-a", 10));
  table_->OnLinkClosed(link_a_.id, now_);
  EXPECT_THAT(table_->Tick(now_ + absl::Seconds(4)), IsEmpty());
  EXPECT_THAT(Describe(table_->Tick(now_ + absl::Seconds(5))),
              ElementsAre("stop chat"));
  EXPECT_THAT(table_->Tick(now_ + absl::Hours(1)), IsEmpty());
}

TEST_F(RequestTableTest, ChatIsStoppedAtItsDeadline) {
  fb::DispatchT dispatch = MakeDispatch("r1", "router-a");
  dispatch.deadline_ms = 1'000;
  Dispatch(link_a_, dispatch);
  EXPECT_THAT(table_->Tick(now_ + absl::Milliseconds(999)), IsEmpty());
  EXPECT_THAT(Describe(table_->Tick(now_ + absl::Seconds(1))),
              ElementsAre("stop r1"));
}

TEST_F(RequestTableTest, UnsettledRunIsBilledOnceAfterSettleTimeout) {
  Dispatch(link_a_, MakeDispatch("r1", "router-a"));
  End(fb::EndKind::Completed);
  EXPECT_THAT(table_->TakeDueBills(now_ + absl::Seconds(4), false), IsEmpty());
  const auto due = table_->TakeDueBills(now_ + absl::Seconds(5), false);
  ASSERT_EQ(due.size(), 1u);
  const BillRecord expected{
      "r1",     "permits", "ward-7", "router-a", "engine-1",
      "gate-a", 3,         4,        7,          Outcome::kCompleted};
  EXPECT_EQ(due[0].bill, expected);
  EXPECT_THAT(table_->TakeDueBills(now_ + absl::Hours(1), false), IsEmpty());
  table_->OnBillFailed(due[0]);
  EXPECT_EQ(table_->TakeDueBills(now_ + absl::Hours(1), false), due);
  EXPECT_EQ(table_->CountOpenRuns("router-a"), 1);
  table_->OnBilled(due[0]);
  EXPECT_EQ(table_->CountOpenRuns("router-a"), 0);
}

TEST_F(RequestTableTest, RunOfDisconnectedPayerIsBilledAfterShorterTimeout) {
  Finish(link_a_, MakeDispatch("r1", "router-a"),
         MakeRunEnd(fb::EndKind::Completed, 3, 4));
  table_->OnLinkClosed(link_a_.id, now_);
  EXPECT_THAT(table_->TakeDueBills(now_, false), IsEmpty());
  EXPECT_EQ(table_->TakeDueBills(now_ + absl::Seconds(1), false).size(), 1U);
}

TEST_F(RequestTableTest, SettledRunAndRunEndedNotRunAreNotBilled) {
  Finish(link_a_, MakeDispatch("r1", "router-a"),
         MakeRunEnd(fb::EndKind::Completed));
  table_->OnSettled("r1");
  Finish(link_a_, MakeDispatch("r2", "router-a"),
         MakeRunEnd(fb::EndKind::NotRun));
  EXPECT_THAT(table_->TakeDueBills(now_, true), IsEmpty());
  EXPECT_EQ(table_->unbilled_runs(), 0);
}

TEST_F(RequestTableTest,
       ChargeIsMeasuredUsageOrReservationAndNeverAboveReservation) {
  struct Case {
    fb::CallKind kind;
    fb::EndKind end;
    int64_t output;
    int64_t charged;
  };
  const Case cases[] = {
      {fb::CallKind::Chat, fb::EndKind::Completed, 5, 15},
      {fb::CallKind::Chat, fb::EndKind::Cancelled, 5, 15},
      {fb::CallKind::Chat, fb::EndKind::BackendFailed, 0, 10},
      {fb::CallKind::Chat, fb::EndKind::Unknown, 5, kReservedTokens},
      {fb::CallKind::Chat, fb::EndKind::Completed, 5'000, kReservedTokens},
      {fb::CallKind::Service, fb::EndKind::Completed, 0, kReservedTokens},
      {fb::CallKind::Service, fb::EndKind::Unknown, 0, kReservedTokens},
  };
  for (const Case& c : cases) {
    Reset(RequestTableOptions());
    fb::DispatchT dispatch = MakeDispatch("r1", "router-a");
    dispatch.kind = c.kind;
    Finish(link_a_, dispatch, MakeRunEnd(c.end, 10, c.output));
    const auto due = table_->TakeDueBills(now_, true);
    ASSERT_EQ(due.size(), 1u);
    EXPECT_EQ(due[0].bill.charged_tokens, c.charged)
        << fb::EnumNameEndKind(c.end);
  }
}

TEST_F(RequestTableTest, SealStopsChatsRefusesFramesAndMakesBillsDue) {
  Dispatch(link_a_, MakeDispatch("chat", "router-a"));
  const int64_t chat_run = run_;
  Dispatch(link_a_, MakeServiceDispatch("order", "router-a", 10));
  const int64_t service_run = run_;
  Dispatch(link_a_, MakeDispatch("shared", "router-a"));
  Dispatch(link_b_, MakeDispatch("shared", "router-b"));
  EXPECT_THAT(Describe(table_->Seal("router-a", now_)),
              ElementsAre("stop chat"));
  EXPECT_THAT(Dispatch(link_a_, MakeDispatch("new", "router-a")),
              ElementsAre("1: refused Sealed"));
  fb::AttachT attach;
  attach.request = "order";
  attach.router = "router-a";
  EXPECT_THAT(Describe(table_->OnAttach(link_a_, attach)),
              ElementsAre("1: refused Sealed"));
  EXPECT_EQ(table_->CountOpenRuns("router-a"), 3);
  table_->OnEnd(chat_run, MakeRunEnd(fb::EndKind::Cancelled, 1, 1), now_);
  table_->OnEnd(service_run, MakeRunEnd(fb::EndKind::Completed), now_);
  EXPECT_THAT(End(fb::EndKind::Completed), ElementsAre("2: end Completed 0"));
  const auto due = table_->TakeDueBills(now_, false);
  EXPECT_EQ(due.size(), 3u);
  for (const DueBill& bill : due) {
    table_->OnBilled(bill);
  }
  EXPECT_EQ(table_->CountOpenRuns("router-a"), 0);
}

TEST_F(RequestTableTest, DroppedAnswerIsReplayedAsUnknownWithoutBody) {
  RequestTableOptions options;
  options.replay_bytes = 1'000;
  Reset(options);
  for (const char* request : {"r1", "r2"}) {
    Dispatch(link_a_, MakeDispatch(request, "router-a"));
    table_->OnHead(run_, 200, "");
    table_->OnData(run_, std::string(700, 'x'));
    End(fb::EndKind::Completed);
    EXPECT_LE(table_->kept_bytes(), options.replay_bytes);
  }
  EXPECT_THAT(Dispatch(link_b_, MakeDispatch("r1", "router-b")),
              ElementsAre("2: head 200 attempt 1", "2: end Unknown 700"));
  EXPECT_EQ(Dispatch(link_b_, MakeDispatch("r2", "router-b")).size(), 3u);
}

TEST_F(RequestTableTest, AttachToDroppedPiecesOfRunningRequestEndsUnknown) {
  RequestTableOptions options;
  options.replay_bytes = 1'000;
  Reset(options);
  Dispatch(link_a_, MakeDispatch("r1", "router-a"));
  table_->OnData(run_, std::string(2'000, 'x'));
  EXPECT_EQ(table_->kept_bytes(), 0);
  EXPECT_THAT(Dispatch(link_b_, MakeDispatch("r1", "router-b")),
              ElementsAre("2: end Unknown 2000"));
  fb::AttachT attach;
  attach.request = "r1";
  attach.router = "router-b";
  attach.from_sequence = 1;
  EXPECT_THAT(table_->OnAttach(link_b_, attach), IsEmpty());
  EXPECT_EQ(Describe(table_->OnData(run_, "y")).size(), 2u);
}

TEST_F(RequestTableTest, OldestSettledRequestIsRemovedButItsFenceIsKept) {
  RequestTableOptions options;
  options.max_keys = 2;
  Reset(options);
  for (int i = 1; i <= 3; ++i) {
    const std::string request = absl::StrCat("r", i);
    Finish(link_a_, MakeServiceDispatch(request, "router-a", 10 * i),
           MakeRunEnd(fb::EndKind::Completed));
    table_->OnSettled(request);
  }
  EXPECT_EQ(table_->remembered_requests(), 2u);
  EXPECT_THAT(Dispatch(link_b_, MakeServiceDispatch("r1", "router-b", 10)),
              ElementsAre("2: refused StaleFence"));
  EXPECT_THAT(Dispatch(link_b_, MakeServiceDispatch("r4", "router-b", 40)),
              ElementsAre("start r4"));
}

TEST_F(RequestTableTest, UnsettledRequestsAreNeverRemoved) {
  RequestTableOptions options;
  options.max_keys = 2;
  Reset(options);
  for (const char* request : {"r1", "r2"}) {
    Finish(link_a_, MakeDispatch(request, "router-a"),
           MakeRunEnd(fb::EndKind::Completed));
  }
  EXPECT_THAT(Dispatch(link_a_, MakeDispatch("r3", "router-a")),
              ElementsAre("1: refused Full"));
  EXPECT_EQ(table_->TakeDueBills(now_, true).size(), 2u);
}

}  // namespace
}  // namespace hawthornhollow
