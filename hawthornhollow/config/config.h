#ifndef HAWTHORNHOLLOW_CONFIG_CONFIG_H_
#define HAWTHORNHOLLOW_CONFIG_CONFIG_H_

// The fleet's configuration, as operators write it, and the settings of one
// process.
//
// A configuration folder holds small JSON files. Each file holds one object or
// an array of objects; each object has a "kind" and a "name". Files are merged
// in the order of their names: an object whose kind and name were seen in an
// earlier file replaces the fields that it gives and keeps the others.
//
//   auto files = ReadFolder("config/");            // name -> text
//   auto config = Configuration::Merge(*files);    // all errors at once
//   const Caller* caller = config->FindCallerByKey(bearer_key);
//
// A merged Configuration is immutable. Processes share one by
// std::shared_ptr<const Configuration>, and a request keeps the one with which
// it began.

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"

namespace hawthornhollow {

// One error in a file. Printed as "FILE: FIELD: reason (found VALUE)".
struct ConfigError {
  std::string file;
  std::string field;
  std::string reason;
  std::string value;

  std::string ToString() const;
  friend auto operator<=>(const ConfigError&, const ConfigError&) = default;
};

// A prepaying customer. {"kind":"member","name":"lantern-works"}
struct Member {
  std::string name;
  friend auto operator<=>(const Member&, const Member&) = default;
};

// A member's prepaid tokens, as the total ever voted: a top-up raises `tokens`,
// a voted cut lowers it.
// {"kind":"budget","name":"permits","member":"lantern-works","tokens":500000}
struct Budget {
  std::string name;
  std::string member;
  int64_t tokens = 0;
  friend auto operator<=>(const Budget&, const Budget&) = default;
};

// A class of work. Ranks are served in ascending `order`; `floor` is the share
// of capacity (0 to 1) that the rank keeps while others flood; `target_ms` is
// the time to first token that its callers are promised.
// {"kind":"rank","name":"urgent","order":0,"target_ms":1800,"floor":0.0}
struct Rank {
  std::string name;
  int32_t order = 0;
  int64_t target_ms = 0;
  double floor = 0;
  friend auto operator<=>(const Rank&, const Rank&) = default;
};

// Who calls: a key (as its SHA-256), the member and budget it draws on, the
// ranks it may ask for (the first is its default), and its limits (0 is none).
// {"kind":"caller","name":"ward-7","member":"lantern-works",
//  "budget":"permits","key_sha256":"...","ranks":["middling","urgent"],
//  "workspace":"permits","max_concurrent":8,"requests_per_second":20,
//  "tokens_per_minute":60000}
struct Caller {
  std::string name;
  std::string member;
  std::string budget;
  std::string key_sha256;
  std::vector<std::string> ranks;
  std::string workspace;
  int64_t max_concurrent = 0;
  double requests_per_second = 0;
  int64_t tokens_per_minute = 0;
  friend auto operator<=>(const Caller&, const Caller&) = default;
};

// {"kind":"model","name":"permit-drafter","max_output_tokens":1024}
struct Model {
  std::string name;
  // The output limit of a request that names none, and the most it may name.
  int64_t max_output_tokens = 0;
  friend auto operator<=>(const Model&, const Model&) = default;
};

// A plain service. Calls that are not repeatable need an Idempotency-Key and
// run at most once. Each call is billed `tokens_per_call`.
// {"kind":"service","name":"kit-booking","repeatable":false,
//  "tokens_per_call":50}
struct Service {
  std::string name;
  bool repeatable = false;
  int64_t tokens_per_call = 0;
  friend auto operator<=>(const Service&, const Service&) = default;
};

enum class ServerState { kServing, kLeaving };

// A backend server, reached through the side process beside it. Serves either
// one model or one service.
// {"kind":"server","name":"engine-1","model":"permit-drafter",
//  "address":"127.0.0.1:7201","failure_domain":"patan","slots":16,
//  "state":"serving"}
struct Server {
  std::string name;
  std::string model;    // empty for a service's server
  std::string service;  // empty for a model's server
  std::string address;  // the side process's, IP:PORT
  std::string failure_domain;
  int64_t slots = 0;  // requests run at once
  ServerState state = ServerState::kServing;
  friend auto operator<=>(const Server&, const Server&) = default;
};

// File name -> text of the file, ordered by name.
using ConfigFiles = std::map<std::string, std::string>;

// Reads every *.json file of `folder`; other names and sub-folders are errors
// unless they begin with '.'.
absl::StatusOr<ConfigFiles> ReadFolder(const std::string& folder);

class Configuration {
 public:
  // Parses, merges, and checks fields and cross-references. On failure appends
  // every error found to `errors` and returns null.
  static std::shared_ptr<const Configuration> Merge(
      const ConfigFiles& files,
      std::vector<ConfigError>* errors);
  // As above; INVALID_ARGUMENT with one line per error.
  static absl::StatusOr<std::shared_ptr<const Configuration>> Merge(
      const ConfigFiles& files);

  const ConfigFiles& files() const { return files_; }
  // Sorted by name (ranks: by order, then name).
  const std::vector<Member>& members() const { return members_; }
  const std::vector<Budget>& budgets() const { return budgets_; }
  const std::vector<Rank>& ranks() const { return ranks_; }
  const std::vector<Caller>& callers() const { return callers_; }
  const std::vector<Model>& models() const { return models_; }
  const std::vector<Service>& services() const { return services_; }
  const std::vector<Server>& servers() const { return servers_; }

  // Each returns null if there is none. Lookups are O(log n) or better.
  const Budget* FindBudget(std::string_view name) const;
  const Rank* FindRank(std::string_view name) const;
  const Caller* FindCaller(std::string_view name) const;
  const Caller* FindCallerByKey(std::string_view bearer_key) const;
  const Model* FindModel(std::string_view name) const;
  const Service* FindService(std::string_view name) const;
  const Server* FindServer(std::string_view name) const;

  friend bool operator==(const Configuration& a, const Configuration& b) {
    return a.files_ == b.files_;
  }

 private:
  friend class ConfigurationBuilder;
  Configuration() = default;

  ConfigFiles files_;
  std::vector<Member> members_;
  std::vector<Budget> budgets_;
  std::vector<Rank> ranks_;
  std::vector<Caller> callers_;
  std::vector<Model> models_;
  std::vector<Service> services_;
  std::vector<Server> servers_;
  std::map<std::string, size_t, std::less<>> caller_by_key_sha256_;
};

// A change of one file against the base from which the folder was taken.
// `text` is nullopt for a removal.
struct FileChange {
  std::string file;
  std::optional<std::string> text;
  friend auto operator<=>(const FileChange&, const FileChange&) = default;
};

// The changes that turn `base` into `folder`.
std::vector<FileChange> DiffFiles(const ConfigFiles& base,
                                  const ConfigFiles& folder);
// `files` with `changes` applied.
ConfigFiles ApplyChanges(const ConfigFiles& files,
                         const std::vector<FileChange>& changes);

// ---------------------------------------------------------------------------
// Settings of one process, from a JSON file. Unknown fields are errors.

struct RouterSettings {
  std::string name;                // unique in the fleet, e.g. "router-1"
  std::string failure_domain;      // e.g. "patan"
  std::string listen;              // callers' HTTP, IP:PORT
  std::string ops_listen;          // /status and /metrics; empty: on `listen`
  std::string peer_listen;         // frames from other routers, IP:PORT
  std::vector<std::string> peers;  // other routers' peer_listen
  std::string peer_links = "all";  // or "ring": of log2(n) other routers
  std::string log_service;         // IP:PORT
  std::string vm_list;             // IP:PORT; empty: none
  int64_t threads = 2;
  int64_t ledger_shards = 1;    // the same on every process
  int64_t drain_seconds = 600;  // the most that a graceful shutdown waits
  int64_t max_connections = 4096;
  // Scheduling: "ranks", or for comparison only "fifo", "least_loaded" or
  // "random".
  std::string policy = "ranks";
  friend auto operator<=>(const RouterSettings&,
                          const RouterSettings&) = default;
};

struct SidecarSettings {
  std::string name;    // unique in the fleet, e.g. "sidecar-1"
  std::string server;  // the Server it stands beside
  std::string failure_domain;
  std::string listen;        // frames from routers, IP:PORT
  std::string http_listen;   // /healthz and /metrics, IP:PORT
  std::string backend;       // the backend server's HTTP, IP:PORT
  std::string backend_kind;  // "engine" or "service"
  std::string log_service;   // IP:PORT
  int64_t ledger_shards = 1;
  int64_t replay_bytes = 16 * 1024 * 1024;  // kept answers, in all
  int64_t drain_seconds = 600;
  // Of it, the most that it waits for the log once nothing runs.
  int64_t settle_seconds = 20;
  friend auto operator<=>(const SidecarSettings&,
                          const SidecarSettings&) = default;
};

// Parse a settings text; `file` is named in errors. INVALID_ARGUMENT with one
// line per error.
absl::StatusOr<RouterSettings> ParseRouterSettings(std::string_view file,
                                                   std::string_view text);
absl::StatusOr<SidecarSettings> ParseSidecarSettings(std::string_view file,
                                                     std::string_view text);

// The whole text of a file. NOT_FOUND or PERMISSION_DENIED with its name.
absl::StatusOr<std::string> ReadFile(const std::string& path);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_CONFIG_CONFIG_H_
