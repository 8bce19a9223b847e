#ifndef TESTING_PLATFORM_STANDIN_MESSAGES_H_
#define TESTING_PLATFORM_STANDIN_MESSAGES_H_

// The platform's messages as its other parties write and read them, for tests:
// a caller's requests and the answers to them, a router's settings, and the
// entries of servers and of the configuration in the store.

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/runtime/runtime.h"
#include "testing/platform_standin.h"

namespace hawthornhollow::standins {

// A caller's request.
struct CallerRequest {
  std::string id;
  std::string path;
  std::string key;
  absl::Duration time_limit = absl::Seconds(8);
  // Of a prompt; none: the request has no tokens.
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  std::string prompt_parts;  // "id:tokens,..."
};
HttpRequest MakeCallerRequest(const CallerRequest& request);

// The request that an answer belongs to, as its server says.
std::string AnsweredId(const HttpHead& head);
// Whether an answer bears its server's proof.
bool IsSealed(const HttpHead& head);

// The head of a server's success answer in bytes, with these lines besides;
// "$ID" stands for the request's id. And that id, from the bytes of a request's
// head.
std::string AnswerHeadBytes(const std::string& more_lines);
std::string RequestIdOf(const std::string& head);
// A whole answer of a server with this status line and these lines besides.
std::string SealedAnswerBytes(const std::string& status_line,
                              const std::string& more_lines,
                              const std::string& body);
// A refusal with this id, none if it is empty: not run, and never will be.
std::string RefusalBytes(const std::string& id);
// A caller's request in bytes, on a connection of its own.
std::string CallerRequestBytes(const CallerRequest& request);
// The head alone, with these lines of framing.
std::string CallerHeadBytes(const CallerRequest& request,
                            const std::string& framing);

// The settings file of a router.
struct EntryAddresses {
  Endpoint callers;
  Endpoint readiness;
  Endpoint peers;
  Endpoint store;
  double link_mbps = 1'000;
  int64_t load_ask_ms = 10;
  // Of the VM; 0: not stated.
  int64_t memory_mb = 0;
  int64_t max_fds = 0;
};
std::string EntrySettings(const std::string& router,
                          const EntryAddresses& addresses);

// Fields of a server's entry that most tests leave as they are.
struct ServerEntryFields {
  std::string zone = "z";
  int64_t slots = 8;
  absl::Duration cold_for;
};

// A server's entry, and its end.
void PutServer(StoreStandin& store,
               const std::string& id,
               const Endpoint& address,
               int64_t sequence,
               int64_t born_ms = 0,
               const ServerEntryFields& fields = {});
void DropServer(StoreStandin& store, const std::string& id);
// Entries among those of the servers that no server wrote. Their servers would
// be at `address`; no router may use one.
void PutOddServers(StoreStandin& store, const Endpoint& address);

// Asks for nothing more to be sent to the servers of the zone, and ends that.
void PutEvacuation(StoreStandin& store, const std::string& zone);
void DropEvacuation(StoreStandin& store, const std::string& zone);

// A configuration with the routes "/stream/" (resumable, two tries), "/order/"
// (once at most) and "/lookup/" of one service, for the host "h.example".
struct StandinWorkspace {
  std::string name;
  std::string key;
  int64_t prepaid = 0;
};
struct StandinConfiguration {
  int64_t version = 1;
  int64_t tokens_per_event = 1;
  int64_t order_attempts = 1;
  double cold_per_second = 0;
  absl::Duration cold_time;
  int64_t memory_tokens = 0;  // of a server's engine; 0: not described
  std::vector<StandinWorkspace> workspaces;
};
void PutConfiguration(StoreStandin& store,
                      const StandinConfiguration& configuration);

}  // namespace hawthornhollow::standins

#endif  // TESTING_PLATFORM_STANDIN_MESSAGES_H_
