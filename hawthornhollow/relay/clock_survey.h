#ifndef HAWTHORNHOLLOW_RELAY_CLOCK_SURVEY_H_
#define HAWTHORNHOLLOW_RELAY_CLOCK_SURVEY_H_

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

struct ClockSurveyOptions {
  // Maximum number of routers asked. At least half of those asked must answer.
  size_t max_asked = 8;
  // How long to keep asking. After a power loss all routers restart at about
  // the same time, and this one may be the first.
  absl::Duration survey_timeout = absl::Milliseconds(1'500);
  absl::Duration retry_delay = absl::Milliseconds(50);
};

// What other routers' clocks show, as differences from this VM's clock.
struct ClockSurvey {
  size_t asked = 0;
  size_t answered = 0;
  size_t needed = 0;
  absl::Duration max_behind;  // zero or negative
  absl::Duration max_ahead;   // zero or positive

  bool is_enough() const { return needed > 0 && answered >= needed; }
  friend bool operator==(const ClockSurvey&, const ClockSurvey&) = default;
};

// Asks until enough routers have answered or
// `ClockSurveyOptions::survey_timeout` has passed.
inline ClockSurvey SurveyClocks(const std::vector<std::string>& addresses,
                                const AskForTimeOfDay& ask,
                                const ClockSurveyOptions& options) {
  ClockSurvey survey{.asked = std::min(addresses.size(), options.max_asked)};
  survey.needed = (survey.asked + 1) / 2;
  std::set<std::string> unanswered(
      addresses.begin(),
      addresses.begin() + static_cast<std::ptrdiff_t>(survey.asked));
  const absl::Time end = SteadyNow() + options.survey_timeout;
  while (survey.answered < survey.needed && SteadyNow() < end) {
    std::erase_if(unanswered, [&](const std::string& address) {
      const auto shown = ask(address);
      if (!shown.ok())
        return false;
      const absl::Duration difference = *shown - TimeOfDayNow();
      survey.max_behind = std::min(survey.max_behind, difference);
      survey.max_ahead = std::max(survey.max_ahead, difference);
      ++survey.answered;
      return true;
    });
    if (survey.answered < survey.needed)
      hawthornhollow::SleepFor(options.retry_delay);
  }
  return survey;
}

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_CLOCK_SURVEY_H_
