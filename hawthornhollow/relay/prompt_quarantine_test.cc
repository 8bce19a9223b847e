#include "hawthornhollow/relay/prompt_quarantine.h"

#include <gtest/gtest.h>

#include <random>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace hawthornhollow {
namespace {

class PromptQuarantineTest : public testing::Test {
 protected:
  static absl::Time At(double seconds) {
    return absl::UnixEpoch() + absl::Seconds(seconds);
  }
  // A prompt of the parts that are named, and one of its own.
  std::vector<PromptPart> Prompt(const std::string& parts) {
    std::vector<PromptPart> prompt;
    for (const absl::string_view id : absl::StrSplit(parts, ','))
      prompt.push_back({.id = std::string(id), .tokens = 10});
    prompt.push_back({.id = absl::StrCat("own-", ++prompts_), .tokens = 10});
    return prompt;
  }
  void Crash(double at, const std::string& server, const std::string& parts) {
    quarantine_.OnCrash(server, Prompt(parts), At(at));
  }
  void Answer(double at, const std::string& parts) {
    quarantine_.OnAnswerBegan(Prompt(parts), At(at));
  }
  bool Refuses(double at, const std::string& parts) {
    return quarantine_.Find(Prompt(parts), At(at)) != nullptr;
  }

  PromptQuarantine quarantine_{PromptQuarantineOptions()};
  int prompts_ = 0;
};

TEST_F(PromptQuarantineTest, PartOfThreeCrashes_IsRefused) {
  Crash(0, "s1", "a,dead");
  Crash(1, "s2", "a,dead");
  EXPECT_FALSE(Refuses(1, "a,dead"));
  Crash(2, "s3", "a,dead");
  EXPECT_TRUE(Refuses(2, "a,dead"));
  EXPECT_FALSE(Refuses(2, "a"));
  EXPECT_FALSE(Refuses(2, "a,b"));
}

TEST_F(PromptQuarantineTest, FirstPartThatCrashesWithAnyOther_IsRefused) {
  Crash(0, "s1", "dead,a");
  Crash(1, "s2", "dead,b");
  Crash(2, "s3", "dead,c");
  EXPECT_TRUE(Refuses(2, "dead,d"));
  EXPECT_FALSE(Refuses(2, "e,a"));
}

TEST_F(PromptQuarantineTest, PartsThatAreAnswered_AreNoCause) {
  Answer(0, "a,b");
  Crash(1, "s1", "a,b");
  Crash(2, "s2", "a,dead,b");
  Crash(3, "s3", "a,dead,b");
  EXPECT_FALSE(Refuses(3, "a,dead,b"));
  Crash(4, "s4", "a,dead,b");
  EXPECT_TRUE(Refuses(4, "a,dead,b"));
  EXPECT_FALSE(Refuses(4, "a,b"));
}

TEST_F(PromptQuarantineTest, AnswerAfterCrashes_TheyCountNoMore) {
  Crash(0, "s1", "a,b");
  Crash(1, "s2", "a,b");
  Answer(1.5, "a,b");
  Crash(20, "s3", "a,b");
  Crash(21, "s4", "a,b");
  EXPECT_FALSE(Refuses(21, "a,b"));
}

TEST_F(PromptQuarantineTest, AnswerOnASuspectedPart_IsToldToOthers) {
  Crash(0, "s1", "a,b");
  EXPECT_EQ(quarantine_.OnAnswerBegan(Prompt("a,c"), At(1)),
            std::vector<std::string>({"a"}));
  EXPECT_TRUE(quarantine_.OnAnswerBegan(Prompt("a,c"), At(2)).empty());
  quarantine_.OnSoundReported({"b"}, At(3));
  EXPECT_FALSE(quarantine_.OnCrash("s2", Prompt("a,b"), At(4)).has_value());
}

TEST_F(PromptQuarantineTest, EndsOfOneServerAtOnce_AreOneCrash) {
  for (int i = 0; i < 5; ++i)
    Crash(0.1 * i, "s1", "a,b");
  EXPECT_FALSE(Refuses(1, "a,b"));
  // It is back and crashes again, under the same id.
  Crash(10, "s1", "a,b");
  Crash(20, "s1", "a,b");
  EXPECT_TRUE(Refuses(20, "a,b"));
}

TEST_F(PromptQuarantineTest, LastPart_IsTheRequestsOwn) {
  for (int i = 0; i < 5; ++i) {
    quarantine_.OnCrash(absl::StrCat("s", i), {{.id = "own", .tokens = 10}},
                        At(i));
  }
  EXPECT_EQ(quarantine_.Find({{.id = "own", .tokens = 10}}, At(5)), nullptr);
}

TEST_F(PromptQuarantineTest, CrashWithoutSuspects_IsNotReported) {
  Answer(0, "a,b");
  EXPECT_FALSE(quarantine_.OnCrash("s1", Prompt("a,b"), At(1)).has_value());
  EXPECT_EQ(quarantine_.OnCrash("s1", Prompt("a,c"), At(1)),
            (ServerCrash{.server = "s1", .parts = {"c"}}));
}

TEST_F(PromptQuarantineTest, Quarantine_LastsWhileRequestsComeAndThenEnds) {
  for (int i = 0; i < 3; ++i)
    Crash(i, absl::StrCat("s", i), "dead");
  double now = 2;
  EXPECT_EQ(quarantine_.TakeUnsaved().size(), 1);
  for (int i = 0; i < 10; ++i) {
    now += absl::ToDoubleSeconds(absl::Minutes(6));
    EXPECT_TRUE(Refuses(now, "dead"));
    EXPECT_EQ(quarantine_.TakeUnsaved().size(), 1);
  }
  now += absl::ToDoubleSeconds(absl::Minutes(11));
  EXPECT_FALSE(Refuses(now, "dead"));
}

TEST_F(PromptQuarantineTest, QuarantineSavedByAnotherRouter_IsNotSavedAgain) {
  for (int i = 0; i < 3; ++i)
    Crash(i, absl::StrCat("s", i), "dead");
  const auto saved_until = [&](absl::Duration until) {
    quarantine_.OnSaved({.part = "dead", .crashes = 3, .until = At(0) + until});
    const bool is_unsaved = !quarantine_.TakeUnsaved().empty();
    quarantine_.MarkUnsaved("dead");
    return !is_unsaved;
  };
  EXPECT_FALSE(saved_until(absl::Minutes(5)));
  EXPECT_TRUE(saved_until(absl::Minutes(10)));
}

TEST_F(PromptQuarantineTest, QuarantineOfAnotherRouter_IsTakenUnlessOver) {
  const auto adopt = [&](const std::string& part, double until, double now) {
    return quarantine_.Adopt({.part = part, .crashes = 3, .until = At(until)},
                             At(now));
  };
  EXPECT_TRUE(adopt("dead", 600, 0));
  EXPECT_FALSE(adopt("dead", 600, 1));  // no news
  EXPECT_TRUE(Refuses(50, "a,dead"));
  EXPECT_FALSE(adopt("over", 10, 20));
  // Answers on it begin here.
  Answer(20, "sound");
  EXPECT_FALSE(adopt("sound", 600, 21));
  EXPECT_FALSE(Refuses(21, "sound"));
  EXPECT_TRUE(quarantine_.TakeUnsaved().empty());
}

// Several routers with few requests each, servers that also crash for other
// reasons, one harmful part at a random place of prompts.
TEST_F(PromptQuarantineTest, RandomTraffic_OnlyTheHarmfulPartIsRefused) {
  constexpr int kSeeds = 300;
  constexpr int kRouters = 4;
  int most_crashes = 0;
  for (int seed = 0; seed < kSeeds; ++seed) {
    std::mt19937_64 random(seed);
    const auto below = [&](int bound) {
      return std::uniform_int_distribution<int>(0, bound - 1)(random);
    };
    std::vector<PromptQuarantine> routers(
        kRouters, PromptQuarantine(PromptQuarantineOptions()));
    int crashes = 0;
    for (int step = 0; step < 4000; ++step) {
      const absl::Time now = At(step * 0.02);
      const std::string group = absl::StrCat("g", below(8));
      const bool is_harmful = below(20) == 0;
      const bool server_ends = below(200) == 0;
      const auto prompt =
          Prompt(is_harmful ? absl::StrCat("g1,", "dead")
                            : absl::StrCat(group, ",", group, "-", below(20)));
      PromptQuarantine& router = routers[below(kRouters)];
      if (const QuarantinedPart* part = router.Find(prompt, now)) {
        EXPECT_EQ(part->part, "dead") << "seed " << seed;
        continue;
      }
      if (!is_harmful && !server_ends) {
        const auto cleared = router.OnAnswerBegan(prompt, now);
        for (PromptQuarantine& other : routers)
          other.OnSoundReported(cleared, now);
        continue;
      }
      crashes += is_harmful ? 1 : 0;
      const auto crash = router.OnCrash(absl::StrCat("s", step), prompt, now);
      for (PromptQuarantine& other : routers) {
        if (crash.has_value() && &other != &router)
          other.OnReported(*crash, now);
      }
    }
    most_crashes = std::max(most_crashes, crashes);
  }
  EXPECT_LE(most_crashes, 5);
}

}  // namespace
}  // namespace hawthornhollow
