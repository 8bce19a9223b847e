#ifndef HAWTHORNHOLLOW_RELAY_BOOT_CLOCK_H_
#define HAWTHORNHOLLOW_RELAY_BOOT_CLOCK_H_

// The VM's clocks: one that goes on while the VM is suspended and that nobody
// sets, and the time of day, which may be set.

#include <string>

#include "absl/time/time.h"

namespace hawthornhollow {

// Time since the VM's boot.
absl::Duration BootTime();

// By the VM's own clock.
absl::Time TimeOfDayNow();

// Identifies the VM's boot; empty if the system does not tell.
std::string BootId();

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_BOOT_CLOCK_H_
