#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "hawthornhollow/ledger/ledger.h"
#include "hawthornhollow/ledger/ledger_testing.h"

namespace hawthornhollow {
namespace {

using testing::HasSubstr;

constexpr uint64_t kSeeds = 300;
constexpr auto kEnded = static_cast<int>(MembershipFold::kMaxEnded);

class MembershipFoldTest : public testing::Test {
 protected:
  void Open(const std::string& router) {
    Apply(RouterOpenRecord{router, "name-" + router, "patan"});
  }
  void OpenGate(const std::string& gate, const std::string& incarnation) {
    Apply(GateOpenRecord{gate, incarnation, "engine-1"});
  }
  void Suspect(const std::string& router) {
    Apply(RouterSuspectRecord{router, "no heartbeat"});
  }
  Verdict Apply(const RecordBody& body) { return feeder_.Apply(body); }
  void ExpectRejected(const RecordBody& body, const std::string& reason) {
    const Verdict verdict = Apply(body);
    EXPECT_EQ(verdict.kind, VerdictKind::kRejected) << FormatVerdict(verdict);
    EXPECT_THAT(verdict.reason, HasSubstr(reason));
  }
  MembershipFold& fold() { return feeder_.fold; }

  FoldFeeder<MembershipFold> feeder_;
};

TEST_F(MembershipFoldTest, RouterAlive_OfSuspect_IsRejected) {
  Open("r1");
  Suspect("r1");
  ExpectRejected(RouterAliveRecord{"r1"}, "suspect");
  EXPECT_TRUE(fold().IsSuspect("r1"));
  EXPECT_FALSE(fold().IsOpen("r1"));
}

TEST_F(MembershipFoldTest, InvalidRecords_AreRejectedWithReason) {
  Open("r1");
  OpenGate("g", "g1");
  ExpectRejected(RouterAliveRecord{"r9"}, "unknown router");
  ExpectRejected(RouterSuspectRecord{"r9", ""}, "unknown router");
  ExpectRejected(RouterClosedRecord{"r9"}, "unknown router");
  ExpectRejected(RouterOpenRecord{}, "no incarnation");
  ExpectRejected(GateOpenRecord{"", "g9", "s"}, "no gate");
  ExpectRejected(GateClosedRecord{"g9"}, "unknown gate");
  ExpectRejected(GateSealedRecord{"g9", "r1"}, "unknown gate");
  ExpectRejected(GateSealedRecord{"g1", "r9"}, "unknown router");
  ExpectRejected(GateSealedRecord{"g1", "r1"}, "not suspect");
  ExpectRejected(GateSettledRecord{"r1", "g1"}, "not lost");
  ExpectRejected(GateSettledRecord{"r1", "g9"}, "unknown gate");
  ExpectRejected(BillRecord{}, "not a record of this stream");
}

TEST_F(MembershipFoldTest, Sealing_OpenRouter_IsNotComplete) {
  Open("r1");
  EXPECT_FALSE(fold().IsSealingComplete("r1"));
  EXPECT_FALSE(fold().IsSealingComplete("unknown"));
}

TEST_F(MembershipFoldTest,
       Sealing_WithOpenGates_NeedsEachOpenedBeforeSuspicion) {
  Open("r1");
  OpenGate("g", "g1");
  OpenGate("h", "h1");
  Suspect("r1");
  OpenGate("i", "i1");
  Apply(GateSealedRecord{"g1", "r1"});
  EXPECT_FALSE(fold().IsSealingComplete("r1"));
  Apply(GateSealedRecord{"h1", "r1"});
  EXPECT_TRUE(fold().IsSealingComplete("r1"));
  EXPECT_FALSE(fold().HasUnsettledLostGate("r1"));
}

TEST_F(MembershipFoldTest, Sealing_ClosedGate_IsNotNeeded) {
  Open("r1");
  OpenGate("g", "g1");
  Suspect("r1");
  Apply(GateClosedRecord{"g1"});
  EXPECT_TRUE(fold().IsSealingComplete("r1"));
  EXPECT_FALSE(fold().HasUnsettledLostGate("r1"));
}

TEST_F(MembershipFoldTest,
       Sealing_GateReplacedUnsettled_LeavesUnsettledLostGate) {
  Open("r1");
  OpenGate("g", "g1");
  Suspect("r1");
  OpenGate("g", "g2");
  EXPECT_TRUE(fold().IsSealingComplete("r1"));
  EXPECT_TRUE(fold().HasUnsettledLostGate("r1"));
  ExpectRejected(GateSealedRecord{"g1", "r1"}, "gate is lost");
}

TEST_F(MembershipFoldTest, Sealing_GateReplacedAfterSeal_NeedsNoSettling) {
  Open("r1");
  OpenGate("g", "g1");
  Suspect("r1");
  Apply(GateSealedRecord{"g1", "r1"});
  OpenGate("g", "g2");
  EXPECT_TRUE(fold().IsSealingComplete("r1"));
  EXPECT_FALSE(fold().HasUnsettledLostGate("r1"));
}

TEST_F(MembershipFoldTest, GateSettled_LostGate_LeavesNoUnsettledLostGate) {
  Open("r1");
  OpenGate("g", "g1");
  OpenGate("g", "g2");
  EXPECT_TRUE(fold().HasUnsettledLostGate("r1"));
  Apply(GateSettledRecord{"r1", "g1"});
  EXPECT_FALSE(fold().HasUnsettledLostGate("r1"));
}

TEST_F(MembershipFoldTest, LostGate_BeforeRouterOpened_NeedsNoSettling) {
  OpenGate("g", "g1");
  OpenGate("g", "g2");
  Open("r1");
  Suspect("r1");
  EXPECT_FALSE(fold().HasUnsettledLostGate("r1"));
  EXPECT_FALSE(fold().IsSealingComplete("r1"));
  Apply(GateSealedRecord{"g2", "r1"});
  EXPECT_TRUE(fold().IsSealingComplete("r1"));
}

TEST_F(MembershipFoldTest, LostGate_OpenedAfterSuspicion_NeedsNoSettling) {
  Open("r1");
  Suspect("r1");
  OpenGate("g", "g1");
  OpenGate("g", "g2");
  EXPECT_TRUE(fold().IsSealingComplete("r1"));
  EXPECT_FALSE(fold().HasUnsettledLostGate("r1"));
}

TEST_F(MembershipFoldTest, GateOpen_AppliedLate_MarksNewerIncarnationLost) {
  Open("r1");
  OpenGate("g", "g2");
  feeder_.ApplyAs("dead", 1, GateOpenRecord{"g", "g1", "engine-1"});
  EXPECT_TRUE(fold().gates().at("g2").lost);
  EXPECT_TRUE(fold().HasUnsettledLostGate("r1"));
}

TEST_F(MembershipFoldTest, RouterClosed_AnyState_IsNeitherOpenNorSuspect) {
  Open("r1");
  Open("r2");
  Suspect("r2");
  Apply(RouterClosedRecord{"r1"});
  Apply(RouterClosedRecord{"r2"});
  for (const std::string router : {"r1", "r2"}) {
    EXPECT_FALSE(fold().IsOpen(router));
    EXPECT_FALSE(fold().IsSuspect(router));
  }
  ExpectRejected(RouterSuspectRecord{"r1", ""}, "closed");
}

TEST_F(MembershipFoldTest,
       Ended_AboveLimit_RemovesOldestButKeepsUnsettledLostGate) {
  Open("r1");
  OpenGate("g", "g1");
  OpenGate("g", "g2");
  for (int i = 0; i < kEnded + 5; ++i) {
    const std::string router = "x" + std::to_string(i);
    Open(router);
    Apply(RouterClosedRecord{router});
  }
  EXPECT_FALSE(fold().routers().contains("x0"));
  EXPECT_TRUE(fold().HasUnsettledLostGate("r1"));
  EXPECT_EQ(fold().routers().size() + fold().gates().size(),
            MembershipFold::kMaxEnded + 2);
  RestoreFromCheckpoint(fold());
}

TEST_F(MembershipFoldTest, Restore_CorruptBytes_IsDataLoss) {
  Open("r1");
  const std::string state = fold().Serialize();
  EXPECT_FALSE(MembershipFold::Restore("").ok());
  EXPECT_FALSE(MembershipFold::Restore(state.substr(0, 20)).ok());
}

// A slow reference for MembershipFold. It computes each answer from all
// accepted records. "Before" and "after" refer to offsets, because other
// processes see all records of a batch at the same time.
class MembershipReference {
 public:
  RecordDecision Decide(const RecordBody& body, int64_t offset) {
    const VerdictKind kind =
        std::visit([this](const auto& r) { return Decide(r); }, body);
    if (kind == VerdictKind::kAccepted) {
      accepted_.push_back(body);
      offsets_.push_back(offset);
    }
    return RecordDecision{kind, "", 0};
  }

  void Check(const MembershipFold& fold) const {
    for (const std::string router : {"r0", "r1", "r2", "r3"}) {
      EXPECT_EQ(fold.IsOpen(router), IsOpen(router));
      EXPECT_EQ(fold.IsSuspect(router), IsSuspect(router));
      EXPECT_EQ(fold.IsSealingComplete(router), IsSealingComplete(router));
      EXPECT_EQ(fold.HasUnsettledLostGate(router),
                HasUnsettledLostGate(router));
    }
  }

 private:
  static constexpr VerdictKind kAccepted = VerdictKind::kAccepted;
  static constexpr VerdictKind kRejected = VerdictKind::kRejected;
  static constexpr VerdictKind kDuplicate = VerdictKind::kDuplicate;
  static constexpr int kNever = 1'000'000;

  // Returns the index of the first accepted record equal to `wanted`, or
  // kNever.
  int IndexOf(const RecordBody& wanted) const {
    const auto it = std::find(accepted_.begin(), accepted_.end(), wanted);
    return it == accepted_.end() ? kNever
                                 : static_cast<int>(it - accepted_.begin());
  }
  int64_t OffsetAt(int index) const {
    return index == kNever ? kNever : offsets_[index];
  }
  bool IsBefore(int index, int other) const {
    return OffsetAt(index) < OffsetAt(other);
  }
  bool HasAccepted(const RecordBody& wanted) const {
    return IndexOf(wanted) != kNever;
  }
  int OpenedIndex(const std::string& router) const {
    return IndexOf(RouterOpenRecord{router, "n", "d"});
  }
  int SuspectedIndex(const std::string& router) const {
    return IndexOf(RouterSuspectRecord{router, ""});
  }
  bool IsClosed(const std::string& router) const {
    return HasAccepted(RouterClosedRecord{router});
  }
  bool IsSuspect(const std::string& router) const {
    return SuspectedIndex(router) != kNever && !IsClosed(router);
  }
  bool IsOpen(const std::string& router) const {
    return OpenedIndex(router) != kNever && SuspectedIndex(router) == kNever &&
           !IsClosed(router);
  }
  // Gate incarnations are named after their gates: "g1.7" belongs to gate "g1".
  static std::string GateOf(const std::string& incarnation) {
    return incarnation.substr(0, incarnation.find('.'));
  }
  int GateOpenedIndex(const std::string& gate) const {
    return IndexOf(GateOpenRecord{GateOf(gate), gate, "s"});
  }
  int GateClosedIndex(const std::string& gate) const {
    return IndexOf(GateClosedRecord{gate});
  }
  // Returns the index at which the next incarnation of the gate opened, or
  // kNever if `gate` was closed before or no other incarnation opened.
  int GateLostIndex(const std::string& gate) const {
    for (int i = GateOpenedIndex(gate) + 1; i < std::ssize(accepted_); ++i) {
      const auto* open = std::get_if<GateOpenRecord>(&accepted_[i]);
      if (open != nullptr && open->gate == GateOf(gate))
        return GateClosedIndex(gate) < i ? kNever : i;
    }
    return kNever;
  }
  std::vector<std::string> Gates() const {
    std::vector<std::string> gates;
    for (const RecordBody& body : accepted_) {
      if (const auto* open = std::get_if<GateOpenRecord>(&body))
        gates.push_back(open->incarnation);
    }
    return gates;
  }
  bool IsSealingComplete(const std::string& router) const {
    if (SuspectedIndex(router) == kNever && !IsClosed(router))
      return false;
    for (const std::string& gate : Gates()) {
      const bool ended =
          GateLostIndex(gate) != kNever || GateClosedIndex(gate) != kNever;
      const bool opened_before =
          IsBefore(GateOpenedIndex(gate), SuspectedIndex(router));
      if (opened_before && !ended &&
          !HasAccepted(GateSealedRecord{gate, router}))
        return false;
    }
    return true;
  }
  bool HasUnsettledLostGate(const std::string& router) const {
    if (OpenedIndex(router) == kNever)
      return false;
    for (const std::string& gate : Gates()) {
      const int lost = GateLostIndex(gate);
      if (lost != kNever && !IsBefore(lost, OpenedIndex(router)) &&
          IsBefore(GateOpenedIndex(gate), SuspectedIndex(router)) &&
          !HasAccepted(GateSealedRecord{gate, router}) &&
          !HasAccepted(GateSettledRecord{router, gate}))
        return true;
    }
    return false;
  }

  template <typename T>
  VerdictKind Decide(const T&) {
    return kRejected;
  }
  VerdictKind Decide(const RouterOpenRecord& r) {
    return OpenedIndex(r.incarnation) != kNever ? kDuplicate : kAccepted;
  }
  VerdictKind Decide(const RouterAliveRecord& r) {
    return IsOpen(r.incarnation) ? kAccepted : kRejected;
  }
  VerdictKind Decide(const RouterClosedRecord& r) {
    if (IsClosed(r.incarnation))
      return kDuplicate;
    return OpenedIndex(r.incarnation) != kNever ? kAccepted : kRejected;
  }
  VerdictKind Decide(const RouterSuspectRecord& r) {
    if (IsSuspect(r.incarnation))
      return kDuplicate;
    return IsOpen(r.incarnation) ? kAccepted : kRejected;
  }
  VerdictKind Decide(const GateOpenRecord& r) {
    return GateOpenedIndex(r.incarnation) != kNever ? kDuplicate : kAccepted;
  }
  VerdictKind Decide(const GateClosedRecord& r) {
    if (GateClosedIndex(r.incarnation) != kNever)
      return kDuplicate;
    const bool known = GateOpenedIndex(r.incarnation) != kNever;
    return known && GateLostIndex(r.incarnation) == kNever ? kAccepted
                                                           : kRejected;
  }
  VerdictKind Decide(const GateSealedRecord& r) {
    const bool serves = GateOpenedIndex(r.incarnation) != kNever &&
                        GateClosedIndex(r.incarnation) == kNever &&
                        GateLostIndex(r.incarnation) == kNever;
    if (!serves || !IsSuspect(r.router))
      return kRejected;
    return HasAccepted(r) ? kDuplicate : kAccepted;
  }
  VerdictKind Decide(const GateSettledRecord& r) {
    const bool lost = GateOpenedIndex(r.gate_incarnation) != kNever &&
                      GateLostIndex(r.gate_incarnation) != kNever;
    if (!lost || OpenedIndex(r.router) == kNever || IsClosed(r.router))
      return kRejected;
    return HasAccepted(r) ? kDuplicate : kAccepted;
  }

  std::vector<RecordBody> accepted_;
  std::vector<int64_t> offsets_;
};

RecordBody RandomMembershipRecord(RandomSource& rng) {
  const std::string router = rng.NumberedName("r", 4);
  const std::string gate = rng.NumberedName("g", 3);
  const std::string incarnation = rng.NumberedName(gate + ".", 4);
  switch (rng.Uniform(0, 10)) {
    case 0:
    case 1:
      return RouterOpenRecord{router, "n", "d"};
    case 2:
      return RouterAliveRecord{router};
    case 3:
      if (rng.OneIn(4))
        return RouterClosedRecord{router};
      return RouterSuspectRecord{router, ""};
    case 4:
    case 5:
      return GateOpenRecord{gate, incarnation, "s"};
    case 6:
      return GateClosedRecord{incarnation};
    case 7:
    case 8:
      return GateSealedRecord{incarnation, router};
    default:
      return GateSettledRecord{router, incarnation};
  }
}

TEST(MembershipFoldRandomTest, RandomStreams_MatchReference) {
  for (uint64_t seed = 1; seed <= kSeeds && !testing::Test::HasFailure();
       ++seed) {
    CompareWithReference<MembershipFold, MembershipReference>(
        seed, 50, RandomMembershipRecord);
  }
}

TEST(MembershipFoldRandomTest, CorruptCheckpoint_IsDataLossOrUsable) {
  RandomSource rng(1);
  MembershipFold fold;
  int64_t offset = 0;
  for (const Batch& batch : GenerateStream(rng, 80, RandomMembershipRecord))
    fold.Apply(offset++, batch);
  ExpectCorruptionIsHarmless(fold, RandomMembershipRecord);
}

}  // namespace
}  // namespace hawthornhollow
