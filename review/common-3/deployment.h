#ifndef REVIEW_COMMON_3_DEPLOYMENT_H_
#define REVIEW_COMMON_3_DEPLOYMENT_H_

// The operator's configuration, servers and callers of a small deployment, like
// the users' parade desk: a language model whose requests are streams, and a
// booking application.

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "review/common-3/http.h"
#include "review/common-3/store.h"

namespace review {

inline constexpr char kHost[] = "parade.example";
inline constexpr char kModelService[] = "lamp-llm";
inline constexpr char kBookingService[] = "depot-app";
inline constexpr char kDraftPath[] = "/draft/1";      // stream, resumable
inline constexpr char kBookingPath[] = "/booking/1";  // runs once at most
inline constexpr char kLookupPath[] = "/lookup/1";    // may be repeated

struct Tenant {
  std::string name;
  std::string key;
  int64_t prepaid = 0;
};

// As on the sheet, but for the longest time that a booking may take.
void PutConfiguration(Store& store,
                      const std::vector<Tenant>& tenants,
                      int booking_timeout_ms = 1500);

// The entry that a server writes of itself.
void PutServer(Store& store,
               const std::string& id,
               const std::string& service,
               const std::string& zone,
               int port);

struct Call {
  std::string id;
  std::string method = "POST";
  std::string path;
  std::string key;
  int deadline_ms = 10000;
  int64_t prompt_tokens = 0;  // 0: not a request to the model
  int64_t output_tokens = 0;
  std::string body = "text";
};

Request MakeRequest(const Call& call);

// A server as the pages describe it: it refuses what is meant for another one,
// and echoes ids. What it answers otherwise is up to `answer`.
class Replica {
 public:
  struct Arrival {
    std::string call;
    Clock::time_point at;
  };
  using Answer =
      std::function<bool(const Replica&, const Request& request, int socket)>;

  // `more_headers` are in all its answers.
  Replica(std::string id,
          Answer answer,
          Headers more_headers = {},
          const SocketOptions& options = {});

  const std::string& id() const { return id_; }
  int port() const { return server_.port(); }
  // Requests that it has begun to work on.
  std::vector<Arrival> arrivals() const;
  Headers AnswerHeaders(const Request& request) const;

  // A stream of events, of four tokens each.
  static bool AnswerStream(const Replica& replica,
                           const Request& request,
                           int socket);
  static bool AnswerShort(const Replica& replica,
                          const Request& request,
                          int socket);

 private:
  bool Serve(const Request& request, int socket);

  const std::string id_;
  const Answer answer_;
  const Headers more_headers_;
  mutable std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  Server server_;
};

}  // namespace review

#endif  // REVIEW_COMMON_3_DEPLOYMENT_H_
