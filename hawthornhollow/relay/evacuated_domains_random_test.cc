// Routers that read a store at random times and tell one another, while the
// operator writes and the store comes back from older copies, compared with a
// reference that keeps the whole log of every era. Guards against evacuations
// that are lost, come back, or never end.

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"
#include "hawthornhollow/relay/evacuated_domains.h"

namespace hawthornhollow {
namespace {

constexpr absl::Duration kOperatorTime = absl::Seconds(10);
constexpr int kDomains = 3;
constexpr int kRouters = 6;

// One write of the operator, in the order of time.
struct Action {
  int number = 0;
  int64_t era = 0;
  int64_t offset = 0;
  bool is_evacuated = false;
  // No router saw that it was written after a restore, not before.
  bool is_unclear = false;
};

struct LogRecord {
  std::string domain;  // empty: a record of another kind
  Action action;
};

struct StoreModel {
  // Whether a read shows what was deleted.
  bool shows_deletions = true;
  int64_t era = 1;
  std::vector<LogRecord> log;
  std::vector<LogRecord> copy;
  int actions = 0;
  // Evacuations that were read, by era, and when they were first.
  std::map<std::pair<int64_t, std::string>, absl::Time> present;

  int64_t end() const { return static_cast<int64_t>(log.size()); }
  void Write(const std::string& domain, bool is_evacuated) {
    log.push_back({domain,
                   {.number = ++actions,
                    .era = era,
                    .offset = end(),
                    .is_evacuated = is_evacuated,
                    .is_unclear = era > 1}});
  }
  void Restore() {
    log = copy;
    ++era;
  }
  std::map<std::string, Action> Newest() const {
    std::map<std::string, Action> newest;
    for (const LogRecord& record : log) {
      if (!record.domain.empty())
        newest[record.domain] = record.action;
    }
    return newest;
  }
  EvacuationRead Read(absl::Time now) {
    EvacuationRead read{.position = {.era = era, .offset = end()}};
    for (const auto& [domain, action] : Newest()) {
      if (action.is_evacuated) {
        read.present[domain] = action.offset;
        present.try_emplace({era, domain}, now);
      } else if (shows_deletions) {
        read.deleted[domain] = action.offset;
      }
    }
    return read;
  }
};

struct RouterModel {
  EvacuatedDomains domains{{.operator_time = kOperatorTime}};
  // The operator's last write that it may know of, itself or through others.
  std::map<std::string, Action> last;

  void Learn(const std::map<std::string, Action>& known) {
    for (const auto& [domain, action] : known) {
      Action& mine = last[domain];
      if (action.number > mine.number)
        mine = action;
      else if (action.number == mine.number)
        mine.is_unclear &= action.is_unclear;
    }
    const auto report = domains.Report();
    for (auto& [domain, action] : last) {
      if (action.era == report->position.era)
        action.is_unclear &= action.offset < report->first_end;
    }
  }
};

class Simulation {
 public:
  Simulation(int seed, bool shows_deletions)
      : random_(static_cast<unsigned>(seed)) {
    store_.shows_deletions = shows_deletions;
    for (auto& router : routers_)
      router = std::make_unique<RouterModel>();
  }

  void Run(int steps) {
    for (int step = 0; step < steps; ++step) {
      Step();
      for (const auto& router : routers_)
        Check(router.get(), step);
      if (testing::Test::HasFailure())
        return;
    }
  }
  int checks() const { return checks_; }
  int unclear() const { return unclear_; }

 private:
  int Draw(int end) { return absl::Uniform(random_, 0, end); }

  void Step() {
    now_ += absl::Milliseconds(Draw(500));
    const std::string domain = absl::StrCat("d", Draw(kDomains));
    std::unique_ptr<RouterModel>& slot = routers_[Draw(kRouters)];
    const int kind = Draw(100);
    if (kind < 8)
      store_.Write(domain, /*is_evacuated=*/true);
    else if (kind < 16)
      store_.Write(domain, /*is_evacuated=*/false);
    else if (kind < 20)
      store_.log.push_back({});
    else if (kind < 24)
      store_.copy = store_.log;
    else if (kind < 25)
      store_.Restore();
    else if (kind < 26)
      slot = std::make_unique<RouterModel>();
    else if (kind < 65)
      ReadAt(slot.get());
    else
      Tell(*routers_[Draw(kRouters)], slot.get());
  }

  void ReadAt(RouterModel* router) {
    router->domains.OnRead(store_.Read(now_), now_);
    router->Learn(store_.Newest());
  }

  void Tell(const RouterModel& from, RouterModel* to) {
    const auto report = from.domains.Report();
    if (!report.has_value())
      return;
    to->domains.OnReport(*report, now_);
    to->Learn(from.last);
  }

  void Check(RouterModel* router, int step) {
    router->domains.OnTime(now_);
    for (const auto& [domain, last] : router->last) {
      const bool is_evacuated = router->domains.evacuated().contains(domain);
      ++checks_;
      if (is_evacuated == last.is_evacuated)
        continue;
      if (last.is_evacuated) {
        // It may be one of the copy, whose deletion was lost; or was, when the
        // store came back from a copy once more.
        const bool is_lost = last.era < router->domains.Report()->position.era;
        EXPECT_TRUE(last.is_unclear &&
                    (is_lost || !IsOperatorTimeOver(*router)))
            << domain << " is not evacuated at step " << step;
        ++unclear_;
        continue;
      }
      // After the operator's time the older copy holds; and a deletion before
      // the first read of an era may be one of the copy.
      if (IsBackFromCopy(*router, domain, last) || last.is_unclear ||
          (!store_.shows_deletions && store_.era > 1)) {
        ++unclear_;
        continue;
      }
      ADD_FAILURE() << domain << " has not ended at step " << step;
    }
  }

  bool IsBackFromCopy(const RouterModel& router,
                      const std::string& domain,
                      const Action& last) const {
    const int64_t era = router.domains.Report()->position.era;
    for (const auto& [place, read_at] : store_.present) {
      if (place.second != domain || place.first <= last.era)
        continue;
      // In an earlier era the operator's time may have passed, too.
      if (place.first == era
              ? IsOperatorTimeOver(router)
              : place.first < era && now_ >= read_at + kOperatorTime)
        return true;
    }
    return false;
  }
  bool IsOperatorTimeOver(const RouterModel& router) const {
    return now_ >= router.domains.Report()->era_began + kOperatorTime;
  }
  std::mt19937 random_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  StoreModel store_;
  std::vector<std::unique_ptr<RouterModel>> routers_{kRouters};
  int checks_ = 0;
  int unclear_ = 0;
};

void RunAll(bool shows_deletions) {
  int checks = 0;
  int unclear = 0;
  for (int seed = 1; seed <= 7'000 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    Simulation simulation(seed, shows_deletions);
    simulation.Run(/*steps=*/400);
    checks += simulation.checks();
    unclear += simulation.unclear();
  }
  std::cout << checks << " checks, " << unclear << " unclear\n";
}

TEST(EvacuatedDomainsRandomTest, RoutersAndRestoredStores_AgreeWithTheLog) {
  RunAll(/*shows_deletions=*/true);
}

// After a restore, an evacuation of an earlier era may then stay in effect.
TEST(EvacuatedDomainsRandomTest, StoreThatHidesDeletions_LosesNoEvacuation) {
  RunAll(/*shows_deletions=*/false);
}

}  // namespace
}  // namespace hawthornhollow
