#include <optional>

#include "absl/strings/str_join.h"
#include "hawthornhollow/config/config.h"
#include "hawthornhollow/config/fields.h"

namespace hawthornhollow {
namespace {

constexpr int64_t kMaxThreads = 256;
constexpr int64_t kMaxLedgerShards = 1024;
constexpr int64_t kMaxDrainSeconds = 24 * 60 * 60;
constexpr int64_t kMaxConnections = 1'000'000;
constexpr int64_t kMinReplayBytes = 64 * 1024;
constexpr int64_t kMaxReplayBytes = int64_t{64} * 1024 * 1024 * 1024;

absl::Status ErrorsToStatus(const std::vector<ConfigError>& errors) {
  if (errors.empty())
    return absl::OkStatus();
  auto format = [](std::string* out, const ConfigError& error) {
    out->append(error.ToString());
  };
  return absl::InvalidArgumentError(absl::StrJoin(errors, "\n", format));
}

// The fields of a settings text, which must be one object.
FieldMap ParseFields(const std::string& file,
                     std::string_view text,
                     std::vector<ConfigError>* errors) {
  FieldMap fields;
  std::optional<boost::json::value> parsed = ParseJson(file, text, errors);
  if (!parsed.has_value())
    return fields;
  if (!parsed->is_object()) {
    errors->push_back(
        {file, "", "must be one JSON object", DescribeValue(*parsed)});
    return fields;
  }
  for (const auto& field : parsed->get_object()) {
    std::string key(field.key().data(), field.key().size());
    fields.emplace(std::move(key), SourcedValue{field.value(), file});
  }
  return fields;
}

int64_t LedgerShards(FieldReader& reader, int64_t fallback) {
  return reader.Integer(
      "ledger_shards",
      {.min = 1, .max = kMaxLedgerShards, .fallback = fallback});
}

int64_t DrainSeconds(FieldReader& reader, int64_t fallback) {
  return reader.Integer(
      "drain_seconds",
      {.min = 0, .max = kMaxDrainSeconds, .fallback = fallback});
}

RouterSettings ReadRouterSettings(FieldReader& reader) {
  RouterSettings settings;
  settings.name = reader.Name("name");
  settings.failure_domain = reader.Name("failure_domain");
  settings.listen = reader.Address("listen", PortRule::kZeroAllowed);
  settings.ops_listen =
      reader.Address("ops_listen", PortRule::kPositive, Presence::kOptional);
  settings.peer_listen = reader.Address("peer_listen", PortRule::kZeroAllowed);
  settings.peers = reader.Addresses("peers");
  if (auto links =
          reader.Choice("peer_links", {"all", "ring"}, Presence::kOptional);
      !links.empty())
    settings.peer_links = links;
  settings.log_service = reader.Address("log_service", PortRule::kPositive);
  settings.vm_list =
      reader.Address("vm_list", PortRule::kPositive, Presence::kOptional);
  settings.threads = reader.Integer(
      "threads", {.min = 1, .max = kMaxThreads, .fallback = settings.threads});
  settings.ledger_shards = LedgerShards(reader, settings.ledger_shards);
  settings.drain_seconds = DrainSeconds(reader, settings.drain_seconds);
  settings.max_connections = reader.Integer(
      "max_connections",
      {.min = 1, .max = kMaxConnections, .fallback = settings.max_connections});
  settings.policy =
      reader.Choice("policy", {"ranks", "fifo", "least_loaded", "random"},
                    Presence::kOptional);
  return settings;
}

SidecarSettings ReadSidecarSettings(FieldReader& reader) {
  SidecarSettings settings;
  settings.name = reader.Name("name");
  settings.server = reader.Name("server");
  settings.failure_domain = reader.Name("failure_domain");
  settings.listen = reader.Address("listen", PortRule::kZeroAllowed);
  settings.http_listen = reader.Address("http_listen", PortRule::kZeroAllowed);
  settings.backend = reader.Address("backend", PortRule::kPositive);
  settings.backend_kind =
      reader.Choice("backend_kind", {"engine", "service"}, Presence::kRequired);
  settings.log_service = reader.Address("log_service", PortRule::kPositive);
  settings.ledger_shards = LedgerShards(reader, settings.ledger_shards);
  settings.replay_bytes =
      reader.Integer("replay_bytes", {.min = kMinReplayBytes,
                                      .max = kMaxReplayBytes,
                                      .fallback = settings.replay_bytes});
  settings.drain_seconds = DrainSeconds(reader, settings.drain_seconds);
  settings.settle_seconds = reader.Integer(
      "settle_seconds",
      {.min = 0, .max = kMaxDrainSeconds, .fallback = settings.settle_seconds});
  return settings;
}

// Parses a settings text with `read`, which asks for every known field.
template <typename SettingsT>
absl::StatusOr<SettingsT> ParseSettings(std::string_view file,
                                        std::string_view text,
                                        SettingsT (*read)(FieldReader&)) {
  std::string name(file);
  std::vector<ConfigError> errors;
  FieldMap fields = ParseFields(name, text, &errors);
  if (!errors.empty())
    return ErrorsToStatus(errors);
  FieldReader reader("", fields, name, &errors);
  SettingsT settings = read(reader);
  reader.ReportUnknown();
  if (!errors.empty())
    return ErrorsToStatus(errors);
  return settings;
}

}  // namespace

absl::StatusOr<RouterSettings> ParseRouterSettings(std::string_view file,
                                                   std::string_view text) {
  return ParseSettings<RouterSettings>(file, text, &ReadRouterSettings);
}

absl::StatusOr<SidecarSettings> ParseSidecarSettings(std::string_view file,
                                                     std::string_view text) {
  return ParseSettings<SidecarSettings>(file, text, &ReadSidecarSettings);
}

}  // namespace hawthornhollow
