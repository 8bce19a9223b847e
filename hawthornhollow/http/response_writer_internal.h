#ifndef HAWTHORNHOLLOW_HTTP_RESPONSE_WRITER_INTERNAL_H_
#define HAWTHORNHOLLOW_HTTP_RESPONSE_WRITER_INTERNAL_H_

// Writes one response to a server's connection. Private to http.

#include <atomic>

#include "hawthornhollow/http/client_watch_internal.h"
#include "hawthornhollow/http/http.h"

namespace hawthornhollow {

// What a response depends on besides its handler.
struct ResponseTraits {
  unsigned version = 11;  // as Beast counts: 10 for HTTP/1.0, 11 for HTTP/1.1
  bool keep_alive = true;
  bool head_only = false;  // the answer to a HEAD request
  absl::Duration write_timeout;
  std::string peer;
  // Whether the server is draining by now: the response is then the
  // connection's last. May be null.
  const std::atomic<bool>* draining = nullptr;
};

class BeastResponseWriter : public ResponseWriter {
 public:
  BeastResponseWriter(TimedStream* stream, ResponseTraits traits);

  absl::Status Send(const HttpResponse& response) override;
  absl::Status StartStream(int status, const HttpHeaders& headers) override;
  absl::Status Write(std::string_view data) override;
  absl::Status Finish() override;
  void Abort() override;
  void OnClientGone(std::function<void()> callback) override;
  bool IsClientGone() override;

  // Ends the response after the handler has returned: an unanswered request
  // gets 500, an unfinished stream is aborted.
  void Close();
  // Whether the connection can carry another request.
  bool reusable() const { return state_ == State::kDone && keeps_alive_; }

 private:
  enum class State { kUnanswered, kStreaming, kDone, kAborted };

  template <typename Start>
  absl::Status Transfer(Start&& start);
  template <typename Message>
  void FillHead(int status, const HttpHeaders& headers, Message* message);
  absl::Status CheckState(State expected) const;
  absl::Status SendWhole(const HttpResponse& response);
  absl::Status SendHeadOnly(const HttpResponse& response);

  TimedStream* const stream_;
  ResponseTraits traits_;
  ClientWatch watch_;
  State state_ = State::kUnanswered;
  bool chunked_ = true;
  bool keeps_alive_ = true;
};

// {"error":{"code":CODE,"message":MESSAGE}} with the given status.
HttpResponse JsonError(int status,
                       std::string_view code,
                       std::string_view message);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_HTTP_RESPONSE_WRITER_INTERNAL_H_
