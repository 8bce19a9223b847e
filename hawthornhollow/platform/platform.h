#ifndef HAWTHORNHOLLOW_PLATFORM_PLATFORM_H_
#define HAWTHORNHOLLOW_PLATFORM_PLATFORM_H_

// Clients of the platform's services, behind narrow concepts, and what follows
// and writes the log's streams.
//
//   HttpLogClient log(endpoint);
//   auto writer = StreamWriter<HttpLogClient>::Create(...);
//   writer->Append(record);               // group commit, idempotent retries
//   StreamFollower<BudgetFold, HttpLogClient> follower(...);
//   follower.Run(stop);                   // folds, checkpoints, gap recovery

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/ledger/ledger.h"

namespace hawthornhollow {

struct LogEntry {
  int64_t offset = 0;
  std::string data;
  friend auto operator<=>(const LogEntry&, const LogEntry&) = default;
};

// Entries from the asked offset on. `oldest` and `next` are the stream's first
// retained offset and the one that the next append will take; if the asked
// offset is below `oldest`, entries start at `oldest`.
struct LogRead {
  int64_t oldest = 0;
  int64_t next = 0;
  std::vector<LogEntry> entries;
  friend auto operator<=>(const LogRead&, const LogRead&) = default;
};

// The platform's append-only log. Append returns the entry's offset;
// UNAVAILABLE or DEADLINE_EXCEEDED leave open whether it took effect.
template <typename T>
concept LogClient = requires(T client, const std::string& stream) {
  {
    client.Append(stream, std::string_view())
    } -> std::same_as<absl::StatusOr<int64_t>>;
  {
    client.Read(stream, int64_t{}, size_t{}, absl::Duration())
    } -> std::same_as<absl::StatusOr<LogRead>>;
};

struct VmEntry {
  std::string name;
  bool leaving = false;
  friend auto operator<=>(const VmEntry&, const VmEntry&) = default;
};

// The platform's lagging list of live and leaving VMs.
template <typename T>
concept VmListClient = requires(T client) {
  { client.List() } -> std::same_as<absl::StatusOr<std::vector<VmEntry>>>;
};

// The stand-in's protocol:
//   POST /streams/NAME            body: the entry's bytes
//     -> 200 {"offset":12}; 429 over the rate limit (not taken); 503 in outage
//   GET /streams/NAME?from=12&max=100&wait_ms=500
//     -> 200 {"oldest":0,"next":14,"entries":[{"offset":12,"data":"BASE64"}]}
//   Offsets start at 0. A stream exists from its first append; reading one that
//   does not gives oldest 0, next 0. A read with wait_ms answers as soon as
//   there is an entry at `from` or beyond.
class HttpLogClient {
 public:
  explicit HttpLogClient(const Endpoint& endpoint,
                         absl::Duration timeout = absl::Seconds(2));
  absl::StatusOr<int64_t> Append(const std::string& stream,
                                 std::string_view data);
  absl::StatusOr<LogRead> Read(const std::string& stream,
                               int64_t from,
                               size_t max_entries,
                               absl::Duration wait);

 private:
  Endpoint endpoint_;
  absl::Duration timeout_;
  HttpClient http_;
};

// GET /vms -> 200 {"vms":[{"name":"router-1","state":"live"|"leaving"}]}
class HttpVmListClient {
 public:
  explicit HttpVmListClient(const Endpoint& endpoint);
  absl::StatusOr<std::vector<VmEntry>> List();

 private:
  Endpoint endpoint_;
  HttpClient http_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_PLATFORM_PLATFORM_H_
