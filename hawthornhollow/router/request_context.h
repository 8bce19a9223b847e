#ifndef HAWTHORNHOLLOW_ROUTER_REQUEST_CONTEXT_H_
#define HAWTHORNHOLLOW_ROUTER_REQUEST_CONTEXT_H_

// The state of one caller's request while it passes the filter chain and runs.

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "hawthornhollow/config/config.h"
#include "hawthornhollow/http/http.h"
#include "hawthornhollow/router/chat_request.h"
#include "hawthornhollow/router/config_controller.h"

namespace hawthornhollow {

// Tracks whether the caller's connection is open. The hook runs once when the
// caller disconnects, or immediately if it has disconnected before the hook is
// set. Thread-safe.
class CallerConnection {
 public:
  void MarkDisconnected() {
    std::function<void()> hook;
    {
      std::lock_guard lock(mutex_);
      disconnected_ = true;
      hook = std::exchange(hook_, nullptr);
    }
    if (hook)
      hook();
  }

  // Replaces the hook; nullptr removes it.
  void SetDisconnectHook(std::function<void()> hook) {
    {
      std::lock_guard lock(mutex_);
      if (!disconnected_) {
        hook_ = std::move(hook);
        return;
      }
    }
    if (hook)
      hook();
  }

  bool disconnected() const {
    std::lock_guard lock(mutex_);
    return disconnected_;
  }

 private:
  mutable std::mutex mutex_;
  bool disconnected_ = false;
  std::function<void()> hook_;
};

struct RequestContext {
  explicit RequestContext(const HttpRequest& request)
      : http(request), arrived(absl::Now()) {}
  RequestContext(const RequestContext&) = delete;
  RequestContext& operator=(const RequestContext&) = delete;
  // Releases what the filters acquired, in reverse order.
  ~RequestContext() {
    for (auto it = on_end.rbegin(); it != on_end.rend(); ++it)
      (*it)();
  }

  bool is_chat() const { return model != nullptr; }

  const HttpRequest& http;
  const absl::Time arrived;
  std::shared_ptr<const ConfigSnapshot> config;
  std::shared_ptr<CallerConnection> caller_connection =
      std::make_shared<CallerConnection>();

  // Set by the filters, in their order. The pointers point into `config`.
  const Caller* caller = nullptr;
  const Rank* rank = nullptr;
  const Model* model = nullptr;      // null for a service
  const Service* service = nullptr;  // null for a model
  ChatRequest chat;
  std::string service_target;  // path and query sent to the service
  std::string request_key;     // also the request id reported to the caller
  // Whether the caller sent an Idempotency-Key header.
  bool has_idempotency_key = false;
  int64_t prompt_tokens = 0;  // upper bound
  int64_t max_output_tokens = 0;
  int64_t reserved_tokens = 0;
  // The deadline that the caller requested with X-Timeout-Ms.
  absl::Time deadline = absl::InfiniteFuture();
  std::vector<std::function<void()>> on_end;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_ROUTER_REQUEST_CONTEXT_H_
