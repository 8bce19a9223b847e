#ifndef HAWTHORNHOLLOW_RELAY_CLOCK_WITNESSES_H_
#define HAWTHORNHOLLOW_RELAY_CLOCK_WITNESSES_H_

// Asks other routers for the time of day, because this VM's own clock may have
// been set.

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/relay/boot_clock.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {

using AskForTimeOfDay =
    std::function<absl::StatusOr<absl::Time>(const std::string& address)>;

struct ClockWitnessOptions {
  // Maximum number of routers asked. At least half of those asked must answer.
  size_t most_asked = 8;
  // How long to keep asking. After a power loss all routers restart at about
  // the same time, and this one may be the first.
  absl::Duration patience = absl::Milliseconds(1'500);
  absl::Duration retry = absl::Milliseconds(50);
};

// What other routers' clocks show, as differences from this VM's clock.
struct ClockSurvey {
  size_t asked = 0;
  size_t answered = 0;
  size_t needed = 0;
  absl::Duration most_behind;  // zero or negative
  absl::Duration most_ahead;   // zero or positive

  bool is_enough() const { return needed > 0 && answered >= needed; }
  friend bool operator==(const ClockSurvey&, const ClockSurvey&) = default;
};

// Asks until enough routers have answered or `ClockWitnessOptions::patience`
// has passed.
inline ClockSurvey SurveyClocks(const std::vector<std::string>& addresses,
                                const AskForTimeOfDay& ask,
                                const ClockWitnessOptions& options) {
  ClockSurvey survey{.asked = std::min(addresses.size(), options.most_asked)};
  survey.needed = (survey.asked + 1) / 2;
  std::set<std::string> open(
      addresses.begin(),
      addresses.begin() + static_cast<std::ptrdiff_t>(survey.asked));
  const absl::Time end = SteadyNow() + options.patience;
  while (survey.answered < survey.needed && SteadyNow() < end) {
    std::erase_if(open, [&](const std::string& address) {
      const auto shown = ask(address);
      if (!shown.ok())
        return false;
      const absl::Duration difference = *shown - TimeOfDayNow();
      survey.most_behind = std::min(survey.most_behind, difference);
      survey.most_ahead = std::max(survey.most_ahead, difference);
      ++survey.answered;
      return true;
    });
    if (survey.answered < survey.needed)
      hawthornhollow::SleepFor(options.retry);
  }
  return survey;
}

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_CLOCK_WITNESSES_H_
