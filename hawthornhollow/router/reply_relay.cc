#include "hawthornhollow/router/reply_relay.h"

#include <utility>

namespace hawthornhollow {
namespace {

constexpr char kDataPrefix[] = "data: ";
constexpr char kDone[] = "data: [DONE]";
constexpr char kContent[] = "\"content\"";
// Longer lines are truncated in the counter; the event of a token is far
// shorter.
constexpr size_t kMaxLineBytes = 64 * 1024;

std::string_view BytesOf(const fb::DataT& data) {
  return std::string_view(reinterpret_cast<const char*>(data.bytes.data()),
                          data.bytes.size());
}

}  // namespace

void TokenEventCounter::Add(std::string_view piece) {
  for (char c : piece) {
    if (c == '\n')
      EndLine();
    else if (line_.size() < kMaxLineBytes)
      line_.push_back(c);
  }
}

void TokenEventCounter::EndLine() {
  if (line_.starts_with(kDataPrefix) && line_ != kDone &&
      line_.find(kContent) != std::string::npos)
    ++tokens_;
  line_.clear();
}

ReplyRelay::ReplyRelay(ResponseWriter& writer,
                       const RelayOptions& options,
                       std::function<void()> on_first,
                       std::function<void()> cancel)
    : writer_(writer),
      options_(options),
      on_first_(std::move(on_first)),
      cancel_(std::move(cancel)) {}

RelayEnd ReplyRelay::Run(Call& call) {
  while (true) {
    absl::Duration timeout = cancelled_         ? options_.cancel_timeout
                             : first_data_seen_ ? options_.progress_timeout
                                                : options_.first_token_timeout;
    CallEvent event = call.Next(timeout);
    if (const auto* head = std::get_if<fb::HeadT>(&event)) {
      OnHead(*head);
    } else if (const auto* data = std::get_if<fb::DataT>(&event)) {
      OnData(*data);
    } else if (std::holds_alternative<CallerDisconnected>(event)) {
      OnCallerDisconnected();
    } else if (auto* end = std::get_if<fb::EndT>(&event)) {
      OnEnd(*end);
      end_.last = std::move(*end);
      break;
    } else if (auto* refused = std::get_if<fb::RefusedT>(&event)) {
      end_.last = std::move(*refused);
      break;
    } else if (auto* lost = std::get_if<CallLost>(&event)) {
      end_.last = std::move(*lost);
      break;
    } else {
      end_.last = CallTimeout{};
      break;
    }
  }
  end_.tokens_seen = counter_.tokens();
  return std::move(end_);
}

HttpHeaders ReplyRelay::ResponseHeaders() const {
  HttpHeaders headers = {{"X-Request-Id", options_.request_id},
                         {"X-Rank", options_.rank}};
  if (!head_.content_type.empty())
    headers.emplace_back("Content-Type", head_.content_type);
  return headers;
}

void ReplyRelay::OnHead(const fb::HeadT& head) {
  head_ = head;
  bool is_success = head.status >= 200 && head.status < 300;
  if (!options_.stream || !is_success || end_.caller_disconnected)
    return;
  end_.head_sent = true;
  OnWriteStatus(writer_.StartStream(head.status, ResponseHeaders()));
}

void ReplyRelay::OnData(const fb::DataT& data) {
  if (!first_data_seen_) {
    first_data_seen_ = true;
    on_first_();
  }
  counter_.Add(BytesOf(data));
  if (end_.caller_disconnected)
    return;
  if (end_.head_sent)
    OnWriteStatus(writer_.Write(BytesOf(data)));
  else
    body_.append(BytesOf(data));
}

void ReplyRelay::OnEnd(const fb::EndT& end) {
  if (end.kind != fb::EndKind::Completed || end_.caller_disconnected)
    return;
  if (end_.head_sent) {
    writer_.Finish().IgnoreError();
    return;
  }
  HttpResponse response;
  response.status = head_.status;
  response.headers = ResponseHeaders();
  response.body = std::move(body_);
  end_.head_sent = true;
  writer_.Send(response).IgnoreError();
}

void ReplyRelay::OnWriteStatus(const absl::Status& status) {
  if (!status.ok())
    OnCallerDisconnected();
}

void ReplyRelay::OnCallerDisconnected() {
  if (end_.caller_disconnected)
    return;
  end_.caller_disconnected = true;
  if (!cancel_)
    return;
  cancelled_ = true;
  cancel_();
}

}  // namespace hawthornhollow
