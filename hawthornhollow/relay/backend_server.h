#ifndef HAWTHORNHOLLOW_RELAY_BACKEND_SERVER_H_
#define HAWTHORNHOLLOW_RELAY_BACKEND_SERVER_H_

// Backend servers as they registered themselves, and the parts of prompts that
// they cache.

#include <compare>
#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "hawthornhollow/runtime/runtime.h"

namespace hawthornhollow {

// Orders what a server says of itself: by its start, then by a count.
struct ServerRevision {
  int64_t born_ms = 0;  // milliseconds since 1970
  int64_t sequence = 0;
  friend auto operator<=>(const ServerRevision&,
                          const ServerRevision&) = default;
};

// One incarnation of a backend server, as it registered itself.
struct RelayServer {
  std::string id;
  std::string service;
  Endpoint address;
  std::string failure_domain;
  int64_t slots = 1;
  bool leaving = false;
  // How long it stays cold, as of when its entry was written; zero if it is
  // not.
  absl::Duration cold_for;
  ServerRevision revision;
  friend auto operator<=>(const RelayServer&, const RelayServer&) = default;
};

// A part of a prompt. Parts with equal ids have equal text.
struct PromptPart {
  std::string id;
  int64_t tokens = 0;
  friend auto operator<=>(const PromptPart&, const PromptPart&) = default;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_RELAY_BACKEND_SERVER_H_
