#ifndef HAWTHORNHOLLOW_ROUTER_REPLY_RELAY_H_
#define HAWTHORNHOLLOW_ROUTER_REPLY_RELAY_H_

// Copies the reply of one call to the connection of the caller.

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include "absl/time/time.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/router/call.h"

namespace hawthornhollow {

struct RelayOptions {
  // Whether to pass data on as it arrives, as server-sent events. Otherwise the
  // reply is buffered until it is complete.
  bool stream = false;
  std::string request_id;
  std::string rank;
  absl::Duration first_token_timeout = absl::Seconds(60);
  // The attempt fails if no data arrives for this long after the first data.
  absl::Duration progress_timeout = absl::Seconds(20);
  // How long to wait for the End frame of the gate after a cancellation.
  absl::Duration cancel_timeout = absl::Seconds(2);
};

// How an attempt ended: with an End or Refused frame, by loss of the call, or
// by timeout.
struct RelayEnd {
  std::variant<fb::EndT, fb::RefusedT, CallLost, CallTimeout> last;
  bool caller_disconnected = false;
  // Whether the status and headers of this reply were sent to the caller.
  bool head_sent = false;
  // The number of token events in the data, used where the gate reported no
  // usage.
  int64_t tokens_seen = 0;
};

// Counts the events of a server-sent event stream that carry a token. The
// stream may be split at any byte.
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
  // `on_first` runs when the first data arrives. `cancel` asks the gate to
  // cancel the run; it is called if the caller disconnects. If it is null, the
  // run continues.
  ReplyRelay(ResponseWriter& writer,
             const RelayOptions& options,
             std::function<void()> on_first,
             std::function<void()> cancel);

  // Blocks the calling fiber until the attempt ends. A completed reply has been
  // sent in full when this returns, whether buffered or streamed.
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
  bool first_data_seen_ = false;
  TokenEventCounter counter_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_REPLY_RELAY_H_
