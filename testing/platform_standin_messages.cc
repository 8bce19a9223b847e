#include "testing/platform_standin_messages.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/substitute.h"

namespace hawthornhollow::standins {

HttpRequest MakeCallerRequest(const CallerRequest& request) {
  HttpRequest made{
      .method = "POST",
      .target = request.path,
      .headers = {{"Host", "h.example"},
                  {"Attempt-Id", request.id},
                  {"Deadline-Ms",
                   absl::StrCat(absl::ToInt64Milliseconds(request.time_limit))},
                  {"Authorization", "Token " + request.key}},
      .body = "text"};
  if (request.prompt_tokens > 0) {
    made.headers.emplace_back(
        "Token-Counts",
        absl::StrCat(request.prompt_tokens, ",", request.output_tokens));
    made.headers.emplace_back("Prompt-Prefix", request.prompt_parts);
  }
  return made;
}

std::string AnsweredId(const HttpHead& head) {
  return std::string(head.Header("Attempt-Id"));
}

bool IsSealed(const HttpHead& head) {
  return !head.Header("Replica-Seal").empty();
}

std::string AnswerHeadBytes(const std::string& more_lines) {
  return absl::StrCat(
      "HTTP/1.1 200 OK\r\nAttempt-Id: $ID\r\nReplica-Seal: proof\r\n",
      more_lines, "\r\n");
}

std::string RequestIdOf(const std::string& head) {
  constexpr absl::string_view kName = "attempt-id: ";
  const size_t begin = absl::AsciiStrToLower(head).find(kName.data());
  if (begin == std::string::npos)
    return "";
  const size_t value = begin + kName.size();
  return head.substr(value, head.find('\r', value) - value);
}

std::string SealedAnswerBytes(const std::string& status_line,
                              const std::string& more_lines,
                              const std::string& body) {
  return absl::StrCat("HTTP/1.1 ", status_line,
                      "\r\nAttempt-Id: $ID\r\nReplica-Seal: proof\r\n",
                      more_lines, "Content-Length: ", body.size(), "\r\n\r\n",
                      body);
}

std::string RefusalBytes(const std::string& id) {
  const std::string id_line =
      id.empty() ? "" : absl::StrCat("Attempt-Id: ", id, "\r\n");
  return absl::StrCat("HTTP/1.1 503 Unavailable\r\n", id_line,
                      "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
}

std::string CallerHeadBytes(const CallerRequest& request,
                            const std::string& framing) {
  const HttpRequest made = MakeCallerRequest(request);
  std::string bytes =
      absl::StrCat(made.method, " ", made.target, " HTTP/1.1\r\n");
  for (const auto& [name, value] : made.headers)
    absl::StrAppend(&bytes, name, ": ", value, "\r\n");
  absl::StrAppend(&bytes, framing, "\r\n\r\n");
  return bytes;
}

std::string CallerRequestBytes(const CallerRequest& request) {
  const std::string body = MakeCallerRequest(request).body;
  return CallerHeadBytes(request, absl::StrCat("Content-Length: ", body.size(),
                                               "\r\nConnection: close")) +
         body;
}

std::string EntrySettings(const std::string& router,
                          const EntryAddresses& addresses) {
  std::string machine = absl::StrCat("\"link_mbps\":", addresses.link_mbps);
  if (addresses.memory_mb > 0)
    absl::StrAppend(&machine, ",\"memory_mb\":", addresses.memory_mb);
  if (addresses.max_fds > 0)
    absl::StrAppend(&machine, ",\"max_fds\":", addresses.max_fds);
  return absl::Substitute(
      R"({"node":"$0","zone":"z",
      "listen":{"front":"$1","ready":"$2","control":"$3"},
      "bounds":{"grace_s":8,"load_ask_ms":$6},"limits":{$5},
      "platform":{"address":"$4"}})",
      router, addresses.callers.ToString(), addresses.readiness.ToString(),
      addresses.peers.ToString(), addresses.store.ToString(), machine,
      addresses.load_ask_ms);
}

void PutServer(StoreStandin& store,
               const std::string& id,
               const Endpoint& address,
               int64_t sequence,
               int64_t born_ms,
               const ServerEntryFields& fields) {
  store.Put("keyed.servers", id,
            absl::Substitute(R"({"service":"engine","address":"$0","zone":"$3",
      "version":"v1","slots":$4,"state":"ready","cold_remaining_ms":$5,
      "sequence":$1,"born":$2})",
                             address.ToString(), sequence, born_ms, fields.zone,
                             fields.slots,
                             absl::ToInt64Milliseconds(fields.cold_for)));
}

void PutEvacuation(StoreStandin& store, const std::string& zone) {
  store.Put("keyed.op", "evacuate/" + zone, "{}");
}

void DropEvacuation(StoreStandin& store, const std::string& zone) {
  store.Put("keyed.op", "evacuate/" + zone, "");
}

void DropServer(StoreStandin& store, const std::string& id) {
  store.Put("keyed.servers", id, "");
}

void PutOddServers(StoreStandin& store, const Endpoint& address) {
  constexpr int kDeep = 20'000;
  constexpr size_t kLong = 200'000;
  const auto entry = [](const std::string& at, const std::string& slots,
                        const std::string& more) {
    return absl::Substitute(R"({"service":"engine","address":"$0","zone":"z",
      "version":"v1","slots":$1,"state":"ready","sequence":1$2})",
                            at, slots, more);
  };
  const std::string at = address.ToString();
  std::string arrays;
  for (int i = 0; i < kDeep; ++i)
    arrays += "[";
  const std::string entries[] = {
      "",
      "no JSON",
      "null",
      arrays,
      entry(at, "8", absl::StrCat(",\"more\":", arrays)),
      entry(at, "1e400", ""),
      entry(at, "99999999999999999999999", ""),
      entry(at, "8.5", ""),
      entry(at, "-3", ""),
      entry(at, "8", ",\"born\":1e300"),
      entry(absl::StrCat(address.address, ":0"), "8", ""),
      entry(absl::StrCat(address.address, ":65536"), "8", ""),
      entry(absl::StrCat(address.address, ":-1"), "8", ""),
      entry(absl::StrCat(address.address, ":4294967297"), "8", ""),
      entry(absl::StrCat(address.address, ":"), "8", ""),
      entry(std::string(kLong, '1'), "8", ""),
      entry(at, "\"8\"", ""),
      entry("\xff\xfe", "8", ""),
      R"({"service":")" + std::string(kLong, 'x') + R"("})",
      R"({"service":"engine","service":"engine","address":["a"]})"};
  int number = 0;
  for (const std::string& text : entries) {
    // Before and after the sound ones in the order of keys.
    store.Put("keyed.servers", absl::StrCat("a-", number), text);
    store.Put("keyed.servers", absl::StrCat("z-", number++), text);
  }
  store.Put("keyed.servers", "i-\xff\xfe\xc0", entry(at, "8", ""));
  store.Put("keyed.servers", std::string(255, 'k'), "no JSON");
}

void PutConfiguration(StoreStandin& store,
                      const StandinConfiguration& configuration) {
  const std::string workspaces = absl::StrJoin(
      configuration.workspaces, ",",
      [](std::string* out, const StandinWorkspace& workspace) {
        absl::SubstituteAndAppend(
            out, R"({"name":"$0","api_keys":["$1"],"prepaid":$2})",
            workspace.name, workspace.key, workspace.prepaid);
      });
  const std::string memory = configuration.memory_tokens == 0
                                 ? ""
                                 : absl::StrCat(R"(,"kv_capacity_tokens":)",
                                                configuration.memory_tokens);
  store.Put(
      "keyed.op", "config",
      absl::Substitute(R"({"version":$0,
      "routes":[
       {"name":"s","host":"h.example","path_prefix":"/stream/","kind":"stream",
        "timeout_ms":8000,"target_latency_ms":500,"service":"engine",
        "max_attempts":2,"resumable":true},
       {"name":"o","host":"h.example","path_prefix":"/order/",
        "kind":"non_idempotent","timeout_ms":3000,"service":"engine",
        "max_attempts":$1},
       {"name":"l","host":"h.example","path_prefix":"/lookup/",
        "kind":"idempotent","timeout_ms":3000,"service":"engine",
        "max_attempts":2}],
      "services":[{"name":"engine","engine":{"stride":$2$6},
        "cold_per_s":$4,"cold_s":$5}],
      "tenants":[$3]})",
                       configuration.version, configuration.order_attempts,
                       configuration.tokens_per_event, workspaces,
                       configuration.cold_per_second,
                       absl::ToDoubleSeconds(configuration.cold_time), memory));
}

}  // namespace hawthornhollow::standins
