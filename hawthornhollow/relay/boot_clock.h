#ifndef HAWTHORNHOLLOW_RELAY_BOOT_CLOCK_H_
#define HAWTHORNHOLLOW_RELAY_BOOT_CLOCK_H_

// The VM's clock that goes on while the VM is suspended and that nobody sets.

#include <string>

#include "absl/time/time.h"

namespace hawthornhollow {

// Time since the VM's boot.
absl::Duration BootTime();

// Identifies the VM's boot; empty if the system does not tell.
std::string BootId();

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_BOOT_CLOCK_H_
