// The data line of a server-sent event is one JSON chunk. A line may be split
// over several Update calls and is buffered until it is complete. A line or
// JSON answer that exceeds its size limit is skipped instead of buffered. Its
// usage is then unknown, and the number of chunks with content is used instead.

#include "hawthornhollow/gate/usage_meter.h"

#include <algorithm>
#include <boost/json.hpp>

namespace hawthornhollow {
namespace {

constexpr size_t kMaxLineBytes = 1024 * 1024;
constexpr size_t kMaxJsonBytes = 16 * 1024 * 1024;
constexpr std::string_view kDataField = "data:";
constexpr std::string_view kEndMark = "[DONE]";
constexpr std::string_view kCancelledReason = "cancelled";

// Returns the member `name` as a token count, or nullopt if it is absent, not
// an integer, or negative.
std::optional<int64_t> TokenCount(const boost::json::object& usage,
                                  std::string_view name) {
  const boost::json::value* value = usage.if_contains(name);
  if (value == nullptr || !value->is_int64() || value->get_int64() < 0) {
    return std::nullopt;
  }
  return value->get_int64();
}

bool HasText(const boost::json::object& object, std::string_view name) {
  const boost::json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string() && !value->get_string().empty();
}

bool ChoiceHasContent(const boost::json::value& choice) {
  const boost::json::object* object = choice.if_object();
  if (object == nullptr) {
    return false;
  }
  if (HasText(*object, "text")) {
    return true;
  }
  const boost::json::value* delta = object->if_contains("delta");
  return delta != nullptr && delta->is_object() &&
         HasText(delta->get_object(), "content");
}

bool ChoiceIsCancelled(const boost::json::value& choice) {
  const boost::json::object* object = choice.if_object();
  const boost::json::value* reason =
      object == nullptr ? nullptr : object->if_contains("finish_reason");
  return reason != nullptr && reason->is_string() &&
         reason->get_string() == kCancelledReason;
}

// Returns whether `predicate` holds for any of the chunk's choices.
template <typename Predicate>
bool AnyChoice(const boost::json::object& chunk, Predicate predicate) {
  const boost::json::value* choices = chunk.if_contains("choices");
  if (choices == nullptr || !choices->is_array()) {
    return false;
  }
  const boost::json::array& array = choices->get_array();
  return std::any_of(array.begin(), array.end(), predicate);
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\r')) {
    text.remove_suffix(1);
  }
  return text;
}

}  // namespace

void UsageMeter::Update(std::string_view bytes) {
  if (format_ == Format::kJson) {
    overflow_ |= buffer_.size() + bytes.size() > kMaxJsonBytes;
    if (!overflow_) {
      buffer_.append(bytes);
    }
    return;
  }
  while (!bytes.empty()) {
    const size_t newline = bytes.find('\n');
    const std::string_view part = bytes.substr(0, newline);
    overflow_ |= buffer_.size() + part.size() > kMaxLineBytes;
    if (!overflow_) {
      buffer_.append(part);
    }
    if (newline == std::string_view::npos) {
      return;
    }
    if (!overflow_) {
      OnLine(buffer_);
    }
    buffer_.clear();
    overflow_ = false;
    bytes.remove_prefix(newline + 1);
  }
}

void UsageMeter::Finish() {
  if (overflow_) {
    complete_ |= format_ == Format::kJson;
    return;
  }
  if (format_ == Format::kJson) {
    OnJson(buffer_);
    return;
  }
  OnLine(buffer_);
}

void UsageMeter::OnLine(std::string_view line) {
  if (!line.starts_with(kDataField)) {
    return;
  }
  const std::string_view data = Trim(line.substr(kDataField.size()));
  if (data == kEndMark) {
    complete_ = true;
    return;
  }
  OnJson(data);
}

void UsageMeter::OnJson(std::string_view text) {
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(text, error);
  const boost::json::object* object = error ? nullptr : value.if_object();
  if (object == nullptr) {
    return;
  }
  complete_ |= format_ == Format::kJson;
  content_chunks_ += AnyChoice(*object, ChoiceHasContent) ? 1 : 0;
  cancelled_ |= AnyChoice(*object, ChoiceIsCancelled);
  const boost::json::value* usage = object->if_contains("usage");
  if (usage == nullptr || !usage->is_object()) {
    return;
  }
  const boost::json::object& counts = usage->get_object();
  if (const auto tokens = TokenCount(counts, "prompt_tokens")) {
    prompt_tokens_ = tokens;
  }
  if (const auto tokens = TokenCount(counts, "completion_tokens")) {
    output_tokens_ = tokens;
  }
}

}  // namespace hawthornhollow
