#include <algorithm>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "hawthornhollow/ledger/ledger.h"
#include "hawthornhollow/ledger/ledger_testing.h"
#include "hawthornhollow/ledger/state.h"

namespace hawthornhollow {
namespace {

using testing::HasSubstr;

constexpr uint64_t kSeeds = 300;

BillRecord Bill(const std::string& request,
                const std::string& incarnation,
                int64_t tokens,
                const std::string& budget = "permits") {
  BillRecord bill{request, budget, "ward-7", incarnation, "engine-1", "gate-1"};
  bill.charged_tokens = tokens;
  bill.outcome = Outcome::kCompleted;
  return bill;
}

class BudgetFoldTest : public testing::Test {
 protected:
  BudgetFoldTest() { Apply(BudgetVotedRecord{"permits", 1000, 1}); }

  Verdict Apply(const RecordBody& body, const std::string& writer = "w") {
    return feeder_.Apply(body, writer);
  }
  Verdict Grant(const std::string& incarnation,
                int64_t tokens,
                int64_t minimum = 1) {
    return Apply(GrantRequestRecord{"permits", incarnation, tokens, minimum});
  }
  void ExpectRejected(const RecordBody& body, const std::string& reason) {
    const std::string before = Budget();
    const Verdict verdict = Apply(body);
    EXPECT_EQ(verdict.kind, VerdictKind::kRejected) << FormatVerdict(verdict);
    EXPECT_THAT(verdict.reason, HasSubstr(reason));
    EXPECT_EQ(Budget(), before);
  }
  const BudgetFold::BudgetState& permits() const {
    return *feeder_.fold.FindBudget("permits");
  }
  std::string Budget() const {
    return testing::PrintToString(std::make_tuple(
        permits().voted, permits().spent, permits().held(), permits().bills));
  }
  BudgetFold& fold() { return feeder_.fold; }

  FoldFeeder<BudgetFold> feeder_;
};

TEST_F(BudgetFoldTest, GrantRequest_MoreThanFree_GrantsFreeTokens) {
  EXPECT_EQ(Grant("r1", 800).amount, 800);
  EXPECT_EQ(Grant("r2", 800, 200).amount, 200);
  EXPECT_EQ(permits().free(), 0);
}

TEST_F(BudgetFoldTest, GrantRequest_BelowMinimum_IsRejectedAndCountsShortage) {
  Grant("r1", 800);
  ExpectRejected(GrantRequestRecord{"permits", "r2", 800, 201}, "short");
  EXPECT_EQ(permits().shortage_count, 1);
}

TEST_F(BudgetFoldTest, InvalidRecords_AreRejectedWithReason) {
  Grant("r1", 100);
  ExpectRejected(GrantRequestRecord{"rolls", "r1", 10, 1}, "unknown budget");
  ExpectRejected(GrantRequestRecord{"permits", "r1", 0, 0}, "out of range");
  ExpectRejected(GrantRequestRecord{"permits", "r1", INT64_MAX, 1},
                 "out of range");
  ExpectRejected(GrantRequestRecord{"permits", "r1", 10, 11}, "minimum");
  ExpectRejected(GrantRequestRecord{"permits", "", 10, 1}, "no incarnation");
  ExpectRejected(GrantReturnRecord{"permits", "r1", 101}, "holds 100");
  ExpectRejected(GrantReturnRecord{"permits", "r2", 1}, "holds 0");
  ExpectRejected(GrantReturnRecord{"permits", "r1", -5}, "holds 100");
  ExpectRejected(Bill("q", "r1", 5, "rolls"), "unknown budget");
  ExpectRejected(Bill("q", "r1", -5), "out of range");
  ExpectRejected(Bill("", "r1", 5), "no request");
  ExpectRejected(BudgetVotedRecord{"permits", -1, 9}, "out of range");
  ExpectRejected(ClaimReleasedRecord{"q", "r1"}, "no claim");
  ExpectRejected(PublishRecord{}, "not a record of this stream");
  EXPECT_EQ(permits().shortage_count, 0);
}

TEST_F(BudgetFoldTest, BudgetVoted_OlderVersion_DoesNotReplaceNewer) {
  EXPECT_EQ(Apply(BudgetVotedRecord{"permits", 2000, 3}).amount, 2000);
  ExpectRejected(BudgetVotedRecord{"permits", 9000, 2},
                 "version 3 is in force");
  ExpectRejected(BudgetVotedRecord{"permits", 2000, 3},
                 "version 3 is in force");
}

TEST_F(BudgetFoldTest, BudgetVoted_TotalBelowHeld_GrantsNothingUntilReturned) {
  Grant("r1", 900);
  Apply(BudgetVotedRecord{"permits", 500, 2});
  EXPECT_EQ(permits().shortage_count, 1);
  EXPECT_EQ(permits().free(), -400);
  EXPECT_EQ(Grant("r2", 10).kind, VerdictKind::kRejected);
  Apply(GrantReturnRecord{"permits", "r1", 450});
  EXPECT_EQ(Grant("r2", 100).amount, 50);
}

TEST_F(BudgetFoldTest, Bill_OfBilledRequest_IsRejected) {
  Grant("r1", 500);
  EXPECT_EQ(Apply(Bill("q", "r1", 120)).amount, 120);
  ExpectRejected(Bill("q", "r1", 120), "billed already");
  EXPECT_EQ(permits().spent, 120);
  EXPECT_EQ(permits().accounts.at("r1").held(), 380);
  EXPECT_EQ(fold().FindBill("q")->charged_tokens, 120);
}

TEST_F(BudgetFoldTest, Bill_AboveHeld_IsLimitedToHeld) {
  Grant("r1", 100);
  const Verdict verdict = Apply(Bill("q", "r1", 150));
  EXPECT_EQ(verdict.amount, 100);
  EXPECT_EQ(verdict.reason, "overrun clamped");
  EXPECT_EQ(permits().spent, 100);
}

TEST_F(BudgetFoldTest, AccountClosed_WithoutCharge_FreesRemainder) {
  Grant("r1", 500);
  Apply(Bill("q", "r1", 100));
  EXPECT_EQ(Apply(AccountClosedRecord{"r1", false}).amount, 400);
  EXPECT_EQ(permits().spent, 100);
  EXPECT_EQ(permits().free(), 900);
}

TEST_F(BudgetFoldTest, AccountClosed_WithCharge_SpendsRemainder) {
  Grant("r1", 500);
  Apply(Bill("q", "r1", 100));
  Apply(AccountClosedRecord{"r1", true});
  EXPECT_EQ(permits().spent, 500);
  EXPECT_EQ(permits().free(), 500);
}

TEST_F(BudgetFoldTest, AccountClosed_LaterRecords_AreRejected) {
  Grant("r1", 500);
  Apply(AccountClosedRecord{"r1", false});
  ExpectRejected(GrantRequestRecord{"permits", "r1", 10, 1}, "account closed");
  ExpectRejected(GrantReturnRecord{"permits", "r1", 10}, "account closed");
  ExpectRejected(Bill("q", "r1", 10), "account closed");
  ExpectRejected(ClaimRecord{"q", "permits", "r1", "g", "s"}, "account closed");
  EXPECT_EQ(Apply(AccountClosedRecord{"r1", true}).kind,
            VerdictKind::kDuplicate);
  EXPECT_EQ(permits().spent, 0);
}

TEST_F(BudgetFoldTest, Claim_OfClaimedRequest_IsRejected) {
  const ClaimRecord claim{"q", "permits", "r1", "g1", "engine-1"};
  EXPECT_EQ(Apply(claim).kind, VerdictKind::kAccepted);
  ExpectRejected(ClaimRecord{"q", "permits", "r2", "g2", "s"}, "taken by r1");
  EXPECT_EQ(fold().FindClaim("q")->gate_incarnation, "g1");
  EXPECT_EQ(fold().FindClaim("q")->offset, feeder_.offset() - 1);
}

TEST_F(BudgetFoldTest, ClaimReleased_ByAnotherIncarnation_IsRejected) {
  Apply(ClaimRecord{"q", "permits", "r1", "g1", "s"});
  ExpectRejected(ClaimReleasedRecord{"q", "r2"}, "taken by r1");
  Apply(ClaimReleasedRecord{"q", "r1"});
  EXPECT_EQ(Apply(ClaimRecord{"q", "permits", "r2", "g2", "s"}).kind,
            VerdictKind::kAccepted);
}

TEST_F(BudgetFoldTest, Claim_AfterItsBill_IsKeptAndNotReleased) {
  Grant("r1", 100);
  Apply(ClaimRecord{"q", "permits", "r1", "g1", "s"});
  Apply(Bill("q", "r1", 50));
  ExpectRejected(ClaimReleasedRecord{"q", "r1"}, "billed already");
  ExpectRejected(ClaimRecord{"q", "permits", "r2", "g2", "s"}, "taken by r1");
}

TEST_F(BudgetFoldTest, Claim_OfRequestBilledWithoutClaim_IsRejected) {
  Grant("r1", 100);
  Apply(Bill("q", "r1", 50));
  ExpectRejected(ClaimRecord{"q", "permits", "r1", "g1", "s"},
                 "billed already");
}

TEST_F(BudgetFoldTest, GrantRequest_DuplicateOfRejected_IsNotGrantedLater) {
  Grant("r1", 1000);
  const GrantRequestRecord request{"permits", "r2", 500, 500};
  EXPECT_EQ(feeder_.ApplyAs("r2", 1, request).kind, VerdictKind::kRejected);
  Apply(GrantReturnRecord{"permits", "r1", 1000});
  EXPECT_EQ(feeder_.ApplyAs("r2", 1, request).kind, VerdictKind::kDuplicate);
  EXPECT_EQ(permits().free(), 1000);
}

TEST_F(BudgetFoldTest, Bills_AboveLimit_RemovesOldestButKeepsClaimed) {
  Grant("r1", 1000);
  Apply(ClaimRecord{"claimed", "permits", "r1", "g1", "s"});
  Apply(Bill("claimed", "r1", 1));
  Apply(Bill("first", "r1", 1));
  Batch batch{"bulk", {}};
  for (size_t i = 0; i < BudgetFold::kMaxRequests; ++i) {
    const auto sequence = static_cast<int64_t>(i) + 1;
    batch.records.push_back(
        Record{sequence, 0, Bill("q" + std::to_string(i), "r1", 0)});
  }
  fold().Apply(feeder_.offset() + 1, batch);
  EXPECT_EQ(fold().FindBill("first"), nullptr);
  EXPECT_NE(fold().FindBill("q0"), nullptr);
  EXPECT_NE(fold().FindBill("claimed"), nullptr);
  RestoreFromCheckpoint(fold());
}

TEST_F(BudgetFoldTest, Restore_CorruptBytes_IsDataLoss) {
  Grant("r1", 100);
  const std::string state = fold().Serialize();
  EXPECT_FALSE(BudgetFold::Restore("").ok());
  EXPECT_FALSE(BudgetFold::Restore(state.substr(0, state.size() / 2)).ok());
}

TEST_F(BudgetFoldTest, Restore_SameKeyTwice_IsDataLoss) {
  Grant("r1", 100);
  Apply(Bill("q1", "r1", 1));
  Apply(Bill("q2", "r1", 1));
  auto state = UnpackState<fb::BudgetFoldStateT>(fold().Serialize());
  EXPECT_TRUE(BudgetFold::Restore(PackState(**state)).ok());
  (*state)->bill_requests[1] = "q1";
  EXPECT_FALSE(BudgetFold::Restore(PackState(**state)).ok());
}

TEST(ShardOfBudgetTest, AnyBudget_HasStableShardBelowCount) {
  std::set<size_t> seen;
  for (int i = 0; i < 100; ++i) {
    const std::string name = "budget-" + std::to_string(i);
    EXPECT_EQ(ShardOfBudget(name, 7), ShardOfBudget(name, 7));
    seen.insert(ShardOfBudget(name, 7));
  }
  EXPECT_EQ(seen.size(), 7u);
  EXPECT_LT(*seen.rbegin(), 7u);
  EXPECT_EQ(ShardOfBudget("permits", 1), 0u);
}

// A slow reference for BudgetFold. It keeps every accepted record and computes
// each value from all of them.
class BudgetReference {
 public:
  RecordDecision Decide(const RecordBody& body, int64_t offset) {
    RecordDecision decision =
        std::visit([this](const auto& r) { return Decide(r); }, body);
    if (decision.kind == VerdictKind::kAccepted)
      accepted_.emplace_back(body, decision.amount);
    return decision;
  }

  void Check(const BudgetFold& fold) const {
    for (const std::string budget : {"b0", "b1", "b2"}) {
      const auto* state = fold.FindBudget(budget);
      ASSERT_EQ(state != nullptr, IsVoted(budget));
      if (state == nullptr)
        continue;
      EXPECT_EQ(state->voted, Voted(budget));
      EXPECT_EQ(state->spent, Spent(budget));
      EXPECT_EQ(state->free(), Free(budget));
      EXPECT_LE(state->spent, max_voted_);
    }
    for (int i = 0; i < 12; ++i) {
      const std::string request = "q" + std::to_string(i);
      EXPECT_EQ(fold.FindBill(request) != nullptr, IsBilled(request));
      const auto* claim = fold.FindClaim(request);
      EXPECT_EQ(claim == nullptr ? "" : claim->incarnation,
                ClaimHolder(request));
    }
  }

 private:
  static constexpr VerdictKind kAccepted = VerdictKind::kAccepted;
  static constexpr VerdictKind kRejected = VerdictKind::kRejected;

  // Calls `visit(record, amount)` for each accepted record of type R.
  template <typename R, typename Visit>
  void ForEachAccepted(Visit visit) const {
    for (const auto& [body, amount] : accepted_) {
      if (const R* record = std::get_if<R>(&body))
        visit(*record, amount);
    }
  }
  bool IsVoted(const std::string& budget) const {
    bool found = false;
    ForEachAccepted<BudgetVotedRecord>(
        [&](const auto& r, int64_t) { found |= r.budget == budget; });
    return found;
  }
  int64_t Version(const std::string& budget) const {
    int64_t version = 0;
    ForEachAccepted<BudgetVotedRecord>([&](const auto& r, int64_t) {
      if (r.budget == budget)
        version = r.config_version;
    });
    return version;
  }
  int64_t Voted(const std::string& budget) const {
    int64_t voted = 0;
    ForEachAccepted<BudgetVotedRecord>([&](const auto& r, int64_t) {
      if (r.budget == budget)
        voted = r.tokens;
    });
    return voted;
  }
  // Tokens granted minus those returned and billed, even if the account is
  // closed.
  int64_t Balance(const std::string& budget, const std::string& owner) const {
    int64_t balance = 0;
    const auto add = [&](const auto& r, int64_t amount) {
      if (r.budget == budget && r.incarnation == owner)
        balance += amount;
    };
    ForEachAccepted<GrantRequestRecord>(add);
    ForEachAccepted<GrantReturnRecord>(
        [&](const auto& r, int64_t n) { add(r, -n); });
    ForEachAccepted<BillRecord>([&](const auto& r, int64_t n) { add(r, -n); });
    return balance;
  }
  bool IsClosed(const std::string& owner) const {
    bool closed = false;
    ForEachAccepted<AccountClosedRecord>(
        [&](const auto& r, int64_t) { closed |= r.incarnation == owner; });
    return closed;
  }
  int64_t Spent(const std::string& budget) const {
    int64_t spent = 0;
    ForEachAccepted<BillRecord>([&](const auto& r, int64_t amount) {
      if (r.budget == budget)
        spent += amount;
    });
    ForEachAccepted<AccountClosedRecord>([&](const auto& r, int64_t) {
      if (r.charge_remainder)
        spent += Balance(budget, r.incarnation);
    });
    return spent;
  }
  int64_t Held(const std::string& budget, const std::string& owner) const {
    return IsClosed(owner) ? 0 : Balance(budget, owner);
  }
  int64_t Free(const std::string& budget) const {
    int64_t free = Voted(budget) - Spent(budget);
    for (const std::string owner : {"r0", "r1", "r2", "r3"})
      free -= Held(budget, owner);
    return free;
  }
  bool IsBilled(const std::string& request) const {
    bool billed = false;
    ForEachAccepted<BillRecord>(
        [&](const auto& r, int64_t) { billed |= r.request == request; });
    return billed;
  }
  // The incarnation that holds the claim of `request`, or "" if none does.
  std::string ClaimHolder(const std::string& request) const {
    std::string holder;
    for (const auto& [body, amount] : accepted_) {
      const auto* claim = std::get_if<ClaimRecord>(&body);
      if (claim != nullptr && claim->request == request)
        holder = claim->incarnation;
      const auto* released = std::get_if<ClaimReleasedRecord>(&body);
      if (released != nullptr && released->request == request)
        holder = "";
    }
    return holder;
  }
  bool IsUsable(const std::string& budget, const std::string& owner) const {
    return IsVoted(budget) && !IsClosed(owner);
  }

  template <typename T>
  RecordDecision Decide(const T&) {
    return RecordDecision{kRejected, "", 0};
  }
  RecordDecision Decide(const BudgetVotedRecord& r) {
    if (IsVoted(r.budget) && r.config_version <= Version(r.budget))
      return RecordDecision{kRejected, "", 0};
    max_voted_ = std::max(max_voted_, r.tokens);
    return RecordDecision{kAccepted, "", r.tokens};
  }
  RecordDecision Decide(const GrantRequestRecord& r) {
    const int64_t amount = std::min(r.tokens, Free(r.budget));
    if (!IsUsable(r.budget, r.incarnation) || amount < 1 || amount < r.minimum)
      return RecordDecision{kRejected, "", 0};
    return RecordDecision{kAccepted, "", amount};
  }
  RecordDecision Decide(const GrantReturnRecord& r) {
    if (!IsUsable(r.budget, r.incarnation) ||
        r.tokens > Held(r.budget, r.incarnation))
      return RecordDecision{kRejected, "", 0};
    return RecordDecision{kAccepted, "", r.tokens};
  }
  RecordDecision Decide(const BillRecord& r) {
    if (!IsUsable(r.budget, r.incarnation) || IsBilled(r.request))
      return RecordDecision{kRejected, "", 0};
    const int64_t held = Held(r.budget, r.incarnation);
    return RecordDecision{kAccepted, "", std::min(r.charged_tokens, held)};
  }
  RecordDecision Decide(const ClaimRecord& r) {
    const bool taken = IsBilled(r.request) || !ClaimHolder(r.request).empty();
    const bool allowed = IsUsable(r.budget, r.incarnation) && !taken;
    return RecordDecision{allowed ? kAccepted : kRejected, "", 0};
  }
  RecordDecision Decide(const ClaimReleasedRecord& r) {
    const bool own = ClaimHolder(r.request) == r.incarnation;
    return RecordDecision{own && !IsBilled(r.request) ? kAccepted : kRejected,
                          "", 0};
  }
  RecordDecision Decide(const AccountClosedRecord& r) {
    if (IsClosed(r.incarnation))
      return RecordDecision{VerdictKind::kDuplicate, "", 0};
    int64_t remainder = 0;
    for (const std::string budget : {"b0", "b1", "b2"})
      remainder += Balance(budget, r.incarnation);
    return RecordDecision{kAccepted, "", remainder};
  }

  std::vector<std::pair<RecordBody, int64_t>> accepted_;
  int64_t max_voted_ = 0;
};

RecordBody RandomBudgetRecord(RandomSource& rng) {
  const std::string budget = rng.NumberedName("b", 3);
  const std::string owner = rng.NumberedName("r", 4);
  const std::string request = rng.NumberedName("q", 12);
  switch (rng.Uniform(0, 11)) {
    case 0:
      return BudgetVotedRecord{budget, rng.Uniform(0, 1000),
                               rng.Uniform(1, 12)};
    case 1:
    case 2:
    case 3:
    case 4: {
      const int64_t tokens = rng.Uniform(1, 400);
      return GrantRequestRecord{budget, owner, tokens, rng.Uniform(0, tokens)};
    }
    case 5:
    case 6:
      return GrantReturnRecord{budget, owner, rng.Uniform(1, 200)};
    case 7:
    case 8:
      return Bill(request, owner, rng.Uniform(0, 200), budget);
    case 9:
      return ClaimRecord{request, budget, owner, "g", "s"};
    case 10:
      return ClaimReleasedRecord{request, owner};
    default:
      if (!rng.OneIn(6))
        return GrantRequestRecord{budget, owner, 50, 1};
      return AccountClosedRecord{owner, rng.OneIn(2)};
  }
}

TEST(BudgetFoldRandomTest, RandomStreams_MatchReference) {
  for (uint64_t seed = 1; seed <= kSeeds && !testing::Test::HasFailure();
       ++seed) {
    CompareWithReference<BudgetFold, BudgetReference>(seed, 80,
                                                      RandomBudgetRecord);
  }
}

TEST(BudgetFoldRandomTest, CorruptCheckpoint_IsDataLossOrUsable) {
  RandomSource rng(1);
  BudgetFold fold;
  int64_t offset = 0;
  for (const Batch& batch : GenerateStream(rng, 80, RandomBudgetRecord))
    fold.Apply(offset++, batch);
  ExpectCorruptionIsHarmless(fold, RandomBudgetRecord);
}

}  // namespace
}  // namespace hawthornhollow
