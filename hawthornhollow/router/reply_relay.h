#ifndef HAWTHORNHOLLOW_ROUTER_REPLY_RELAY_H_
#define HAWTHORNHOLLOW_ROUTER_REPLY_RELAY_H_

// Carries one answer from its call to the caller's connection.

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include "absl/time/time.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/router/call.h"

namespace hawthornhollow {

struct RelayOptions {
  // Whether to hand pieces on as they come, as server-sent events. Otherwise
  // the answer is kept until it is whole.
  bool stream = false;
  std::string request_id;
  std::string rank;
  absl::Duration first_token_timeout = absl::Seconds(60);
  // Without a piece for this long the attempt has failed.
  absl::Duration progress_timeout = absl::Seconds(20);
  // For the gate's last word after a cancellation.
  absl::Duration cancel_timeout = absl::Seconds(2);
};

// How an attempt ended: an End, a Refused, or nothing more to come.
struct RelayEnd {
  std::variant<fb::EndT, fb::RefusedT, CallLost, CallTimeout> last;
  bool caller_disconnected = false;
  // Whether the caller was sent the head of this answer.
  bool head_sent = false;
  // Tokens seen in the pieces, where the gate gave no usage.
  int64_t tokens_seen = 0;
};

// Counts the events of a server-sent stream that carry a token. Pieces may be
// cut anywhere.
class TokenEventCounter {
 public:
  void Add(std::string_view piece);
  int64_t tokens() const { return tokens_; }

 private:
  void EndLine();
  std::string line_;
  int64_t tokens_ = 0;
};

class ReplyRelay {
 public:
  // `on_first` runs at the first piece. `cancel` asks the gate to cancel the
  // run; it is called if the caller goes, unless the run is to be kept.
  ReplyRelay(ResponseWriter& writer,
             const RelayOptions& options,
             std::function<void()> on_first,
             std::function<void()> cancel);

  // Blocks the calling fiber until the attempt ends. A completed answer that
  // is kept has been sent, and a streamed one finished, when this returns.
  RelayEnd Run(Call& call);

 private:
  void OnHead(const fb::HeadT& head);
  void OnData(const fb::DataT& data);
  void OnEnd(const fb::EndT& end);
  void OnCallerDisconnected();
  void OnWriteStatus(const absl::Status& status);
  HttpHeaders ResponseHeaders() const;

  ResponseWriter& writer_;
  const RelayOptions options_;
  std::function<void()> on_first_;
  std::function<void()> cancel_;
  RelayEnd end_;
  fb::HeadT head_;
  std::string body_;
  bool cancelled_ = false;
  bool first_seen_ = false;
  TokenEventCounter counter_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_REPLY_RELAY_H_
