#include "hawthornhollow/relay/boot_clock.h"

#include <ctime>
#include <fstream>

namespace hawthornhollow {

absl::Duration BootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::DurationFromTimespec(now);
}

absl::Time TimeOfDayNow() {
  // absl::Now() is not used because it interpolates by CPU cycles between
  // readings of the clock and may miss a change of the clock.
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return absl::TimeFromTimespec(now);
}

std::string BootId() {
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string id;
  std::getline(file, id);
  return id;
}

}  // namespace hawthornhollow
