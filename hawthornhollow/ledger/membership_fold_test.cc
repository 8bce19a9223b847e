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
  void ExpectVoid(const RecordBody& body, const std::string& reason) {
    const Verdict verdict = Apply(body);
    EXPECT_EQ(verdict.kind, VerdictKind::kVoid) << FormatVerdict(verdict);
    EXPECT_THAT(verdict.reason, HasSubstr(reason));
  }
  MembershipFold& fold() { return feeder_.fold; }

  FoldFeeder<MembershipFold> feeder_;
};

TEST_F(MembershipFoldTest, RouterAlive_AfterSuspicion_DoesNotRevive) {
  Open("r1");
  Suspect("r1");
  ExpectVoid(RouterAliveRecord{"r1"}, "suspect");
  EXPECT_TRUE(fold().IsSuspect("r1"));
  EXPECT_FALSE(fold().IsOpen("r1"));
}

TEST_F(MembershipFoldTest, InvalidRecords_AreVoidWithReason) {
  Open("r1");
  OpenGate("g", "g1");
  ExpectVoid(RouterAliveRecord{"r9"}, "unknown router");
  ExpectVoid(RouterSuspectRecord{"r9", ""}, "unknown router");
  ExpectVoid(RouterClosedRecord{"r9"}, "unknown router");
  ExpectVoid(RouterOpenRecord{}, "no incarnation");
  ExpectVoid(GateOpenRecord{"", "g9", "s"}, "no gate");
  ExpectVoid(GateClosedRecord{"g9"}, "unknown gate");
  ExpectVoid(GateSealedRecord{"g9", "r1"}, "unknown gate");
  ExpectVoid(GateSealedRecord{"g1", "r9"}, "unknown router");
  ExpectVoid(GateSealedRecord{"g1", "r1"}, "not suspect");
  ExpectVoid(GateSettledRecord{"r1", "g1"}, "not lost");
  ExpectVoid(GateSettledRecord{"r1", "g9"}, "unknown gate");
  ExpectVoid(BillRecord{}, "not a record of this stream");
}

TEST_F(MembershipFoldTest, Sealing_OpenRouter_IsNotComplete) {
  Open("r1");
  EXPECT_FALSE(fold().SealingComplete("r1"));
  EXPECT_FALSE(fold().SealingComplete("unknown"));
}

TEST_F(MembershipFoldTest, Sealing_EveryGateOpenBefore_IsNeeded) {
  Open("r1");
  OpenGate("g", "g1");
  OpenGate("h", "h1");
  Suspect("r1");
  OpenGate("i", "i1");
  Apply(GateSealedRecord{"g1", "r1"});
  EXPECT_FALSE(fold().SealingComplete("r1"));
  Apply(GateSealedRecord{"h1", "r1"});
  EXPECT_TRUE(fold().SealingComplete("r1"));
  EXPECT_FALSE(fold().HasUnsettledLoss("r1"));
}

TEST_F(MembershipFoldTest, Sealing_GateClosedGracefully_IsNotNeeded) {
  Open("r1");
  OpenGate("g", "g1");
  Suspect("r1");
  Apply(GateClosedRecord{"g1"});
  EXPECT_TRUE(fold().SealingComplete("r1"));
  EXPECT_FALSE(fold().HasUnsettledLoss("r1"));
}

TEST_F(MembershipFoldTest, Sealing_GateReplacedUnsettled_IsALoss) {
  Open("r1");
  OpenGate("g", "g1");
  Suspect("r1");
  OpenGate("g", "g2");
  EXPECT_TRUE(fold().SealingComplete("r1"));
  EXPECT_TRUE(fold().HasUnsettledLoss("r1"));
  ExpectVoid(GateSealedRecord{"g1", "r1"}, "gate is lost");
}

TEST_F(MembershipFoldTest, Sealing_GateSealedThenReplaced_IsNoLoss) {
  Open("r1");
  OpenGate("g", "g1");
  Suspect("r1");
  Apply(GateSealedRecord{"g1", "r1"});
  OpenGate("g", "g2");
  EXPECT_TRUE(fold().SealingComplete("r1"));
  EXPECT_FALSE(fold().HasUnsettledLoss("r1"));
}

TEST_F(MembershipFoldTest, GateSettled_LostGate_LosesNothing) {
  Open("r1");
  OpenGate("g", "g1");
  OpenGate("g", "g2");
  EXPECT_TRUE(fold().HasUnsettledLoss("r1"));
  Apply(GateSettledRecord{"r1", "g1"});
  EXPECT_FALSE(fold().HasUnsettledLoss("r1"));
}

TEST_F(MembershipFoldTest, Loss_BeforeRouterOpened_DoesNotConcernIt) {
  OpenGate("g", "g1");
  OpenGate("g", "g2");
  Open("r1");
  Suspect("r1");
  EXPECT_FALSE(fold().HasUnsettledLoss("r1"));
  EXPECT_FALSE(fold().SealingComplete("r1"));
  Apply(GateSealedRecord{"g2", "r1"});
  EXPECT_TRUE(fold().SealingComplete("r1"));
}

TEST_F(MembershipFoldTest, Loss_OfGateOpenedAfterSuspicion_DoesNotConcernIt) {
  Open("r1");
  Suspect("r1");
  OpenGate("g", "g1");
  OpenGate("g", "g2");
  EXPECT_TRUE(fold().SealingComplete("r1"));
  EXPECT_FALSE(fold().HasUnsettledLoss("r1"));
}

TEST_F(MembershipFoldTest, GateOpen_LandsLate_MarksTheServingGateLost) {
  Open("r1");
  OpenGate("g", "g2");
  feeder_.ApplyAs("dead", 1, GateOpenRecord{"g", "g1", "engine-1"});
  EXPECT_TRUE(fold().gates().at("g2").lost);
  EXPECT_TRUE(fold().HasUnsettledLoss("r1"));
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
  ExpectVoid(RouterSuspectRecord{"r1", ""}, "closed");
}

TEST_F(MembershipFoldTest, Ended_AboveBound_DropsOldestButNoUnsettledLoss) {
  Open("r1");
  OpenGate("g", "g1");
  OpenGate("g", "g2");
  for (int i = 0; i < kEnded + 5; ++i) {
    const std::string router = "x" + std::to_string(i);
    Open(router);
    Apply(RouterClosedRecord{router});
  }
  EXPECT_FALSE(fold().routers().contains("x0"));
  EXPECT_TRUE(fold().HasUnsettledLoss("r1"));
  EXPECT_EQ(fold().routers().size() + fold().gates().size(),
            MembershipFold::kMaxEnded + 2);
  RestoreInPlace(fold());
}

TEST_F(MembershipFoldTest, Restore_DamagedBytes_IsDataLoss) {
  Open("r1");
  const std::string state = fold().Serialize();
  EXPECT_FALSE(MembershipFold::Restore("").ok());
  EXPECT_FALSE(MembershipFold::Restore(state.substr(0, 20)).ok());
}

// Reads all accepted records for each question. What one batch holds happens
// at once for other processes, so before and after are by offset.
class MembershipReference {
 public:
  Ruling Rule(const RecordBody& body, int64_t offset) {
    const VerdictKind kind =
        std::visit([this](const auto& r) { return Of(r); }, body);
    if (kind == VerdictKind::kAccepted) {
      accepted_.push_back(body);
      offsets_.push_back(offset);
    }
    return Ruling{kind, "", 0};
  }

  void Check(const MembershipFold& fold) const {
    for (const std::string router : {"r0", "r1", "r2", "r3"}) {
      EXPECT_EQ(fold.IsOpen(router), IsOpen(router));
      EXPECT_EQ(fold.IsSuspect(router), IsSuspect(router));
      EXPECT_EQ(fold.SealingComplete(router), SealingComplete(router));
      EXPECT_EQ(fold.HasUnsettledLoss(router), HasLoss(router));
    }
  }

 private:
  static constexpr VerdictKind kYes = VerdictKind::kAccepted;
  static constexpr VerdictKind kNo = VerdictKind::kVoid;
  static constexpr VerdictKind kAgain = VerdictKind::kRepeat;
  static constexpr int kNever = 1'000'000;

  // The place of the first accepted record equal to `wanted`, or kNever.
  int PlaceOf(const RecordBody& wanted) const {
    const auto it = std::find(accepted_.begin(), accepted_.end(), wanted);
    return it == accepted_.end() ? kNever
                                 : static_cast<int>(it - accepted_.begin());
  }
  int64_t OffsetOf(int place) const {
    return place == kNever ? kNever : offsets_[place];
  }
  bool IsBefore(int place, int other) const {
    return OffsetOf(place) < OffsetOf(other);
  }
  bool Has(const RecordBody& wanted) const { return PlaceOf(wanted) != kNever; }
  int Opened(const std::string& router) const {
    return PlaceOf(RouterOpenRecord{router, "n", "d"});
  }
  int Suspected(const std::string& router) const {
    return PlaceOf(RouterSuspectRecord{router, ""});
  }
  bool IsClosed(const std::string& router) const {
    return Has(RouterClosedRecord{router});
  }
  bool IsSuspect(const std::string& router) const {
    return Suspected(router) != kNever && !IsClosed(router);
  }
  bool IsOpen(const std::string& router) const {
    return Opened(router) != kNever && Suspected(router) == kNever &&
           !IsClosed(router);
  }
  // Gate incarnations are named after their gates: "g1.7" is one of "g1".
  static std::string GateOf(const std::string& incarnation) {
    return incarnation.substr(0, incarnation.find('.'));
  }
  int GateOpened(const std::string& gate) const {
    return PlaceOf(GateOpenRecord{GateOf(gate), gate, "s"});
  }
  int GateClosed(const std::string& gate) const {
    return PlaceOf(GateClosedRecord{gate});
  }
  // Where the next incarnation opened, if the gate was not closed before.
  int GateLost(const std::string& gate) const {
    for (int i = GateOpened(gate) + 1; i < std::ssize(accepted_); ++i) {
      const auto* open = std::get_if<GateOpenRecord>(&accepted_[i]);
      if (open != nullptr && open->gate == GateOf(gate))
        return GateClosed(gate) < i ? kNever : i;
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
  bool SealingComplete(const std::string& router) const {
    if (Suspected(router) == kNever && !IsClosed(router))
      return false;
    for (const std::string& gate : Gates()) {
      const bool ended = GateLost(gate) != kNever || GateClosed(gate) != kNever;
      const bool opened_before = IsBefore(GateOpened(gate), Suspected(router));
      if (opened_before && !ended && !Has(GateSealedRecord{gate, router}))
        return false;
    }
    return true;
  }
  bool HasLoss(const std::string& router) const {
    if (Opened(router) == kNever)
      return false;
    for (const std::string& gate : Gates()) {
      const int lost = GateLost(gate);
      if (lost != kNever && !IsBefore(lost, Opened(router)) &&
          IsBefore(GateOpened(gate), Suspected(router)) &&
          !Has(GateSealedRecord{gate, router}) &&
          !Has(GateSettledRecord{router, gate}))
        return true;
    }
    return false;
  }

  template <typename T>
  VerdictKind Of(const T&) {
    return kNo;
  }
  VerdictKind Of(const RouterOpenRecord& r) {
    return Opened(r.incarnation) != kNever ? kAgain : kYes;
  }
  VerdictKind Of(const RouterAliveRecord& r) {
    return IsOpen(r.incarnation) ? kYes : kNo;
  }
  VerdictKind Of(const RouterClosedRecord& r) {
    if (IsClosed(r.incarnation))
      return kAgain;
    return Opened(r.incarnation) != kNever ? kYes : kNo;
  }
  VerdictKind Of(const RouterSuspectRecord& r) {
    if (IsSuspect(r.incarnation))
      return kAgain;
    return IsOpen(r.incarnation) ? kYes : kNo;
  }
  VerdictKind Of(const GateOpenRecord& r) {
    return GateOpened(r.incarnation) != kNever ? kAgain : kYes;
  }
  VerdictKind Of(const GateClosedRecord& r) {
    if (GateClosed(r.incarnation) != kNever)
      return kAgain;
    const bool known = GateOpened(r.incarnation) != kNever;
    return known && GateLost(r.incarnation) == kNever ? kYes : kNo;
  }
  VerdictKind Of(const GateSealedRecord& r) {
    const bool serves = GateOpened(r.incarnation) != kNever &&
                        GateClosed(r.incarnation) == kNever &&
                        GateLost(r.incarnation) == kNever;
    if (!serves || !IsSuspect(r.router))
      return kNo;
    return Has(r) ? kAgain : kYes;
  }
  VerdictKind Of(const GateSettledRecord& r) {
    const bool lost = GateOpened(r.gate_incarnation) != kNever &&
                      GateLost(r.gate_incarnation) != kNever;
    if (!lost || Opened(r.router) == kNever || IsClosed(r.router))
      return kNo;
    return Has(r) ? kAgain : kYes;
  }

  std::vector<RecordBody> accepted_;
  std::vector<int64_t> offsets_;
};

RecordBody DrawMembershipRecord(Dice& dice) {
  const std::string router = dice.Name("r", 4);
  const std::string gate = dice.Name("g", 3);
  const std::string incarnation = dice.Name(gate + ".", 4);
  switch (dice.Between(0, 10)) {
    case 0:
    case 1:
      return RouterOpenRecord{router, "n", "d"};
    case 2:
      return RouterAliveRecord{router};
    case 3:
      if (dice.OneIn(4))
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

TEST(MembershipFoldRandomTest, RandomStreams_EqualTheReference) {
  for (uint64_t seed = 1; seed <= kSeeds && !testing::Test::HasFailure();
       ++seed) {
    CompareWithReference<MembershipFold, MembershipReference>(
        seed, 50, DrawMembershipRecord);
  }
}

}  // namespace
}  // namespace hawthornhollow
