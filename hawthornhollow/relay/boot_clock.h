#ifndef HAWTHORNHOLLOW_RELAY_BOOT_CLOCK_H_
#define HAWTHORNHOLLOW_RELAY_BOOT_CLOCK_H_

// The VM's clocks: the time since boot, which includes suspension and cannot be
// set, and the time of day, which may be set.

#include <string>

#include "absl/time/time.h"

namespace hawthornhollow {

// Time since the VM's boot.
absl::Duration BootTime();

// The time of day by the VM's own clock.
absl::Time TimeOfDayNow();

// Identifies the VM's boot; empty if the system does not provide an id.
std::string BootId();

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_BOOT_CLOCK_H_
