#include "hawthornhollow/relay/relay_metrics.h"

namespace hawthornhollow {
namespace {

// An age that is infinite, because nothing was read yet, is omitted.
void SetAge(MetricRegistry& registry,
            std::string_view name,
            absl::Duration age) {
  if (age != absl::InfiniteDuration())
    registry.Set(name, {}, absl::ToDoubleSeconds(age));
}

}  // namespace

void RelayMetrics::OnRequestEnd(const EndedRequest& request) {
  const std::string priority = std::to_string(request.priority);
  registry_.Count("requests_total", {{"route", request.route},
                                     {"priority", priority},
                                     {"outcome", request.outcome}});
  registry_.Count("used_tokens_total", {{"route", request.route}},
                  static_cast<double>(request.used_tokens));
  registry_.Observe("request_seconds", {{"route", request.route}},
                    absl::ToDoubleSeconds(request.took));
  if (request.first_event != absl::InfiniteDuration()) {
    registry_.Observe("first_event_seconds",
                      {{"route", request.route}, {"priority", priority}},
                      absl::ToDoubleSeconds(request.first_event));
  }
}

void RelayMetrics::OnServerAttempt(std::string_view server,
                                   std::string_view end) {
  registry_.Count("tries_total",
                  {{"server", std::string(server)}, {"end", std::string(end)}});
}

void RelayMetrics::OnPlaced(std::string_view placed_by,
                            int64_t questions,
                            absl::Duration took) {
  const std::string by(placed_by);
  registry_.Count("placements_total", {{"by", by}});
  registry_.Count("placement_questions_total", {},
                  static_cast<double>(questions));
  registry_.Observe("placement_seconds", {{"by", by}},
                    absl::ToDoubleSeconds(took));
}

void RelayMetrics::OnFirstToken(std::string_view placed_by,
                                absl::Duration predicted,
                                absl::Duration took) {
  const std::string by(placed_by);
  registry_.Observe("first_token_predicted_seconds", {{"by", by}},
                    absl::ToDoubleSeconds(predicted));
  registry_.Observe("first_token_seconds", {{"by", by}},
                    absl::ToDoubleSeconds(took));
}

void RelayMetrics::OnServerConnection(bool made, absl::Duration took) {
  const std::string result = made ? "made" : "failed";
  registry_.Count("server_connections_total", {{"result", result}});
  registry_.Observe("server_connection_seconds", {{"result", result}},
                    absl::ToDoubleSeconds(took));
}

void RelayMetrics::OnTokensAsked(bool ahead) {
  registry_.Count("token_questions_total",
                  {{"for", ahead ? "loan" : "waiting"}});
}

void RelayMetrics::OnTokensRefused(bool spent) {
  registry_.Count("tokens_refused_total",
                  {{"cause", spent ? "spent" : "not_at_hand"}});
}

void RelayMetrics::OnTokensCharged(int64_t tokens) {
  registry_.Count("tokens_charged_total", {}, static_cast<double>(tokens));
}

void RelayMetrics::OnStoreCall(std::string_view call,
                               StoreSubject subject,
                               const absl::Status& status,
                               absl::Duration took) {
  registry_.Count("store_calls_total",
                  {{"call", std::string(call)},
                   {"of", std::string(NameOf(subject))},
                   {"result", absl::StatusCodeToString(status.code())}});
  registry_.Observe("store_call_seconds", {{"call", std::string(call)}},
                    absl::ToDoubleSeconds(took));
}

std::string RelayMetrics::Render(const RelayGauges& gauges) {
  const std::pair<std::string_view, int64_t> values[] = {
      {"config_version", gauges.config_version},
      {"servers", gauges.servers},
      {"servers_kept", gauges.kept_servers},
      {"routers", gauges.routers},
      {"domains_evacuated", gauges.evacuated_domains},
      {"prompt_parts_quarantined", gauges.quarantined_parts},
      {"servers_limited", gauges.limited_servers},
      {"servers_cold", gauges.cold_servers},
      {"servers_coordinated", gauges.coordinated_servers},
      {"requests_in_progress", gauges.requests_in_progress},
      {"caller_connections", gauges.caller_connections},
      {"request_memory_bytes", gauges.request_memory},
      {"tokens_available", gauges.available_tokens},
      {"tokens_waited_for", gauges.waiting_tokens},
  };
  for (const auto& [name, value] : values)
    registry_.Set(name, {}, static_cast<double>(value));
  for (const auto& [reason, count] : gauges.refusals.ByReason()) {
    registry_.Set("http_refused_total", {{"reason", std::string(reason)}},
                  static_cast<double>(count));
  }
  SetAge(registry_, "config_age_seconds", gauges.config_age);
  SetAge(registry_, "servers_age_seconds", gauges.servers_age);
  SetAge(registry_, "record_age_seconds", gauges.record_age);
  return registry_.Render();
}

}  // namespace hawthornhollow
