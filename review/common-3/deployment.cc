#include "review/common-3/deployment.h"

#include <cstdlib>

namespace review {
namespace {

constexpr int kEvents = 10;
constexpr auto kFirstEventAfter = Milliseconds(30);
constexpr auto kEventPause = Milliseconds(15);
constexpr int64_t kSharedTokens = 13300;

std::string TenantText(const Tenant& tenant) {
  return "{\"name\":\"" + tenant.name + "\",\"api_keys\":[\"" + tenant.key +
         "\"],\"prepaid\":" + std::to_string(tenant.prepaid) + "}";
}

}  // namespace

void PutConfiguration(Store& store,
                      const std::vector<Tenant>& tenants,
                      int booking_timeout_ms) {
  std::string list;
  for (const Tenant& tenant : tenants)
    list += (list.empty() ? "" : ",") + TenantText(tenant);
  store.Put("keyed.op", "config",
            R"({"version":1,"routes":[
    {"name":"permit-draft","host":"parade.example","path_prefix":"/draft/",
     "kind":"stream","timeout_ms":10000,"target_latency_ms":1000,"priority":0,
     "service":"lamp-llm","max_attempts":2,"resumable":true,"sticky":true},
    {"name":"kit-booking","host":"parade.example","path_prefix":"/booking/",
     "kind":"non_idempotent","timeout_ms":)" +
                std::to_string(booking_timeout_ms) +
                R"(,"target_latency_ms":300,
     "priority":2,"service":"depot-app","max_attempts":1},
    {"name":"kit-lookup","host":"parade.example","path_prefix":"/lookup/",
     "kind":"idempotent","timeout_ms":1500,"target_latency_ms":300,
     "priority":2,"service":"depot-app","max_attempts":2}],
    "services":[{"name":"lamp-llm","health_path":"/health","max_conns":360,
      "engine":{"slots":64,"kv_capacity_tokens":355133,"stride":4}},
     {"name":"depot-app","health_path":"/health","max_conns":96}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
     "header_timeout_ms":5000,"idle_timeout_ms":60000},
    "tenants":[)" +
                list + "]}");
}

void PutServer(Store& store,
               const std::string& id,
               const std::string& service,
               const std::string& zone,
               int port) {
  store.Put(
      "keyed.servers", id,
      "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" +
          std::to_string(port) + "\",\"zone\":\"" + zone +
          "\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
          "\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1780000000000}");
}

Request MakeRequest(const Call& call) {
  Request request{.method = call.method,
                  .target = call.path,
                  .headers = {{"Host", kHost},
                              {"Attempt-Id", call.id},
                              {"Deadline-Ms", std::to_string(call.deadline_ms)},
                              {"Authorization", "Token " + call.key}},
                  .body = call.body};
  if (call.prompt_tokens > 0) {
    const int64_t own = call.prompt_tokens - kSharedTokens;
    request.headers.emplace_back("Model", "m");
    request.headers.emplace_back("Token-Counts",
                                 std::to_string(call.prompt_tokens) + "," +
                                     std::to_string(call.output_tokens));
    request.headers.emplace_back(
        "Prompt-Prefix", "5c1e07a2:" + std::to_string(kSharedTokens) + "," +
                             call.id + ":" + std::to_string(own));
  }
  return request;
}

Replica::Replica(std::string id,
                 Answer answer,
                 Headers more_headers,
                 const SocketOptions& options)
    : id_(std::move(id)),
      answer_(std::move(answer)),
      more_headers_(std::move(more_headers)),
      server_(
          Server::ForEachRequest([this](const Request& request, int socket) {
            return Serve(request, socket);
          }),
          options) {}

std::vector<Replica::Arrival> Replica::arrivals() const {
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

Headers Replica::AnswerHeaders(const Request& request) const {
  Headers headers = {{"Attempt-Id", request.Header("Attempt-Id")},
                     {"Replica-Seal", "seal-" + id_}};
  headers.insert(headers.end(), more_headers_.begin(), more_headers_.end());
  return headers;
}

bool Replica::Serve(const Request& request, int socket) {
  if (request.Header("Expect-Replica") != id_) {
    return SendAll(socket,
                   ResponseBytes(421,
                                 {{"Attempt-Id", request.Header("Attempt-Id")},
                                  {"Not-Executed", "1"}},
                                 ""));
  }
  {
    const std::lock_guard lock(mutex_);
    arrivals_.push_back({request.Header("Attempt-Id"), Clock::now()});
  }
  return answer_(*this, request, socket);
}

bool Replica::AnswerStream(const Replica& replica,
                           const Request& request,
                           int socket) {
  std::string head = "HTTP/1.1 200 OK\r\n";
  for (const auto& [name, value] : replica.AnswerHeaders(request))
    head += name + ": " + value + "\r\n";
  head +=
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::this_thread::sleep_for(kFirstEventAfter);
  if (!SendAll(socket, head))
    return false;
  const std::string resume = request.Header("Last-Event-Id");
  const int done = resume.empty() ? 0 : std::atoi(resume.c_str());
  for (int i = done + 1; i <= kEvents; ++i) {
    const std::string event = "id: " + std::to_string(i) + "\ndata: abcd\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    if (!SendAll(socket, size + event + "\r\n"))
      return false;
    std::this_thread::sleep_for(kEventPause);
  }
  return SendAll(socket, "0\r\n\r\n");
}

bool Replica::AnswerShort(const Replica& replica,
                          const Request& request,
                          int socket) {
  return SendAll(socket,
                 ResponseBytes(200, replica.AnswerHeaders(request), "done"));
}

}  // namespace review
