#ifndef TESTING_VM_LIST_STANDIN_H_
#define TESTING_VM_LIST_STANDIN_H_

// Stands in for the platform's list of VMs, which lags behind the truth.
//
// GET /vms answers as hawthornhollow/log/log.h says.
// POST /vms {"name":"router-1","state":"live"|"leaving"|"gone"} changes a VM;
// the list shows it after the lag.

#include <cstdint>

#include "absl/status/statusor.h"
#include "hawthornhollow/http/http.h"

namespace hawthornhollow::standins {

struct VmListStandinOptions {
  int64_t lag_ms = 1000;
};

// INVALID_ARGUMENT if an option is out of range.
absl::StatusOr<HttpHandler> MakeVmListStandin(
    const VmListStandinOptions& options);

}  // namespace hawthornhollow::standins

#endif  // TESTING_VM_LIST_STANDIN_H_
