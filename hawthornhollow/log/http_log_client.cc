#include <optional>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "boost/json/parse.hpp"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/log/log.h"

namespace hawthornhollow {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusTooManyRequests = 429;
constexpr int kFirstServerError = 500;

constexpr char kAppendStep[] = "log.append";
constexpr char kReadStep[] = "log.read";

// What an HTTP status other than 200 says of an exchange. Only 4xx promises
// that the request did not take effect.
absl::StatusCode CodeOfHttpStatus(int http_status) {
  if (http_status == kStatusTooManyRequests)
    return absl::StatusCode::kResourceExhausted;
  if (http_status >= kFirstServerError)
    return absl::StatusCode::kUnavailable;
  return absl::StatusCode::kInvalidArgument;
}

absl::StatusOr<boost::json::object> ParseObject(std::string_view step,
                                                const Endpoint& endpoint,
                                                std::string_view text) {
  boost::json::error_code error;
  auto value = boost::json::parse({text.data(), text.size()}, error);
  if (error || !value.is_object()) {
    return ErrorAt(absl::StatusCode::kDataLoss, step, endpoint.ToString(),
                   "the answer is not a JSON object");
  }
  return std::move(value.as_object());
}

std::optional<int64_t> IntegerField(const boost::json::object& object,
                                    const char* name) {
  const boost::json::value* value = object.if_contains(name);
  if (!value)
    return std::nullopt;
  boost::json::error_code error;
  auto number = value->to_number<int64_t>(error);
  if (error)
    return std::nullopt;
  return number;
}

std::optional<LogEntry> ParseEntry(const boost::json::value& value) {
  const boost::json::object* object = value.if_object();
  if (!object)
    return std::nullopt;
  std::optional<int64_t> offset = IntegerField(*object, "offset");
  const boost::json::value* data = object->if_contains("data");
  if (!offset || !data || !data->is_string())
    return std::nullopt;
  LogEntry entry;
  entry.offset = *offset;
  const boost::json::string& encoded = data->get_string();
  if (!absl::Base64Unescape({encoded.data(), encoded.size()}, &entry.data))
    return std::nullopt;
  return entry;
}

std::optional<LogRead> ParseRead(const boost::json::object& object) {
  std::optional<int64_t> oldest = IntegerField(object, "oldest");
  std::optional<int64_t> next = IntegerField(object, "next");
  const boost::json::value* entries = object.if_contains("entries");
  if (!oldest || !next || !entries || !entries->is_array())
    return std::nullopt;
  LogRead read;
  read.oldest = *oldest;
  read.next = *next;
  for (const boost::json::value& value : entries->get_array()) {
    std::optional<LogEntry> entry = ParseEntry(value);
    if (!entry)
      return std::nullopt;
    read.entries.push_back(*std::move(entry));
  }
  return read;
}

// One exchange whose answer is a JSON object.
absl::StatusOr<boost::json::object> Exchange(HttpClient& http,
                                             std::string_view step,
                                             const Endpoint& endpoint,
                                             const HttpRequest& request,
                                             absl::Duration timeout) {
  auto response = http.Call(endpoint, request, timeout);
  if (!response.ok())
    return Annotate(response.status(), step, endpoint.ToString());
  if (response->status != kStatusOk) {
    return ErrorAt(CodeOfHttpStatus(response->status), step,
                   endpoint.ToString(),
                   absl::StrCat("HTTP status ", response->status));
  }
  return ParseObject(step, endpoint, response->body);
}

}  // namespace

HttpLogClient::HttpLogClient(const Endpoint& endpoint, absl::Duration timeout)
    : endpoint_(endpoint), timeout_(timeout) {}

absl::StatusOr<int64_t> HttpLogClient::Append(const std::string& stream,
                                              std::string_view data) {
  HttpRequest request;
  request.method = "POST";
  request.target = absl::StrCat("/streams/", stream);
  request.headers = {{"Content-Type", "application/octet-stream"}};
  request.body = std::string(data);
  auto answer = Exchange(http_, kAppendStep, endpoint_, request, timeout_);
  if (!answer.ok())
    return answer.status();
  std::optional<int64_t> offset = IntegerField(*answer, "offset");
  if (!offset) {
    return ErrorAt(absl::StatusCode::kDataLoss, kAppendStep,
                   endpoint_.ToString(), "the answer has no offset");
  }
  return *offset;
}

absl::StatusOr<LogRead> HttpLogClient::Read(const std::string& stream,
                                            int64_t from,
                                            size_t max_entries,
                                            absl::Duration wait) {
  HttpRequest request;
  request.target =
      absl::StrCat("/streams/", stream, "?from=", from, "&max=", max_entries,
                   "&wait_ms=", absl::ToInt64Milliseconds(wait));
  auto answer = Exchange(http_, kReadStep, endpoint_, request, timeout_ + wait);
  if (!answer.ok())
    return answer.status();
  std::optional<LogRead> read = ParseRead(*answer);
  if (!read) {
    return ErrorAt(absl::StatusCode::kDataLoss, kReadStep, endpoint_.ToString(),
                   "the answer has a malformed field");
  }
  return *std::move(read);
}

}  // namespace hawthornhollow
