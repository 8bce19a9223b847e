#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "hawthornhollow/base/base.h"
#include "hawthornhollow/http/beast_internal.h"
#include "hawthornhollow/http/response_writer_internal.h"

namespace hawthornhollow {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool HasNoBody(int status) {
  return status == kNoContent || status == kNotModified;
}

}  // namespace

BeastResponseWriter::BeastResponseWriter(TimedStream* stream,
                                         ResponseTraits traits)
    : stream_(stream), traits_(std::move(traits)), watch_(&stream->socket()) {}

template <typename Start>
absl::Status BeastResponseWriter::Transfer(Start&& start) {
  SetTimeout(stream_, traits_.write_timeout);
  error_code error;
  Await(&error, std::forward<Start>(start));
  if (!error)
    return absl::OkStatus();
  state_ = State::kAborted;
  stream_->close();
  watch_.ReportGone();
  return ErrorAt(absl::StatusCode::kUnavailable, "http.respond", traits_.peer,
                 error.message());
}

template <typename Message>
void BeastResponseWriter::FillHead(int status,
                                   const HttpHeaders& headers,
                                   Message* message) {
  message->result(static_cast<unsigned>(status));
  message->version(traits_.version);
  AppendHeaders(headers, message);
  const bool draining = traits_.draining != nullptr && *traits_.draining;
  const bool closes =
      boost::beast::iequals(FindHeader(headers, "Connection"), "close");
  keeps_alive_ = traits_.keep_alive && !draining && !closes;
  message->keep_alive(keeps_alive_);
}

absl::Status BeastResponseWriter::CheckState(State expected) const {
  if (watch_.gone() || state_ == State::kAborted) {
    return ErrorAt(absl::StatusCode::kUnavailable, "http.respond", traits_.peer,
                   "the client has gone");
  }
  if (state_ != expected) {
    return ErrorAt(absl::StatusCode::kFailedPrecondition, "http.respond",
                   traits_.peer, "out of order");
  }
  return absl::OkStatus();
}

absl::Status BeastResponseWriter::Send(const HttpResponse& response) {
  absl::Status status = CheckState(State::kUnanswered);
  if (!status.ok())
    return status;
  if (traits_.head_only || HasNoBody(response.status))
    status = SendHeadOnly(response);
  else
    status = SendWhole(response);
  if (status.ok())
    state_ = State::kDone;
  watch_.Disarm();
  return status;
}

absl::Status BeastResponseWriter::SendWhole(const HttpResponse& response) {
  http::response<http::span_body<const char>> message;
  FillHead(response.status, response.headers, &message);
  message.body() = {response.body.data(), response.body.size()};
  message.content_length(response.body.size());
  return Transfer([&](auto done) {
    http::async_write(*stream_, message, std::move(done));
  });
}

absl::Status BeastResponseWriter::SendHeadOnly(const HttpResponse& response) {
  http::response<http::empty_body> message;
  FillHead(response.status, response.headers, &message);
  if (!HasNoBody(response.status))
    message.content_length(response.body.size());
  http::response_serializer<http::empty_body> serializer(message);
  return Transfer([&](auto done) {
    http::async_write_header(*stream_, serializer, std::move(done));
  });
}

absl::Status BeastResponseWriter::StartStream(int status,
                                              const HttpHeaders& headers) {
  absl::Status checked = CheckState(State::kUnanswered);
  if (!checked.ok())
    return checked;
  // HTTP/1.0 knows no chunks: the end of the connection ends the body.
  chunked_ = traits_.version >= 11;
  if (!chunked_)
    traits_.keep_alive = false;
  http::response<http::empty_body> message;
  FillHead(status, headers, &message);
  message.chunked(chunked_);
  http::response_serializer<http::empty_body> serializer(message);
  state_ = State::kStreaming;
  return Transfer([&](auto done) {
    http::async_write_header(*stream_, serializer, std::move(done));
  });
}

absl::Status BeastResponseWriter::Write(std::string_view data) {
  absl::Status status = CheckState(State::kStreaming);
  // An empty chunk would end the body.
  if (!status.ok() || data.empty() || traits_.head_only)
    return status;
  const boost::asio::const_buffer buffer(data.data(), data.size());
  return Transfer([&](auto done) {
    if (chunked_) {
      boost::asio::async_write(*stream_, http::make_chunk(buffer),
                               std::move(done));
    } else {
      boost::asio::async_write(*stream_, buffer, std::move(done));
    }
  });
}

absl::Status BeastResponseWriter::Finish() {
  absl::Status status = CheckState(State::kStreaming);
  if (status.ok() && chunked_ && !traits_.head_only) {
    status = Transfer([&](auto done) {
      boost::asio::async_write(*stream_, http::make_chunk_last(),
                               std::move(done));
    });
  }
  if (status.ok())
    state_ = State::kDone;
  watch_.Disarm();
  return status;
}

void BeastResponseWriter::Abort() {
  if (state_ == State::kDone || state_ == State::kAborted)
    return;
  // Without chunks the end of the connection would make the body look whole.
  if (state_ == State::kStreaming && !chunked_) {
    boost::system::error_code ignored;
    stream_->socket().set_option(
        boost::asio::socket_base::linger(/*enable=*/true, /*timeout=*/0),
        ignored);
  }
  state_ = State::kAborted;
  watch_.Disarm();
  stream_->close();
}

void BeastResponseWriter::OnClientGone(std::function<void()> callback) {
  if (state_ == State::kUnanswered || state_ == State::kStreaming)
    watch_.Start(std::move(callback));
}

bool BeastResponseWriter::IsClientGone() {
  return state_ == State::kAborted || watch_.IsGoneNow();
}

void BeastResponseWriter::Close() {
  if (state_ == State::kUnanswered && !watch_.gone()) {
    LogEvent("http.unanswered", LogSeverity::kError).Add("peer", traits_.peer);
    Send(JsonError(500, "internal_error", "the request was not answered"))
        .IgnoreError();
  }
  Abort();
  watch_.Stop();
}

HttpResponse JsonError(int status,
                       std::string_view code,
                       std::string_view message) {
  boost::json::object error;
  error["code"] = boost::json::string_view(code.data(), code.size());
  error["message"] = boost::json::string_view(message.data(), message.size());
  boost::json::object body;
  body["error"] = std::move(error);
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = boost::json::serialize(body)};
}

}  // namespace hawthornhollow
