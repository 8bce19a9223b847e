#include "testing/standin_support.h"

#include <boost/json.hpp>
#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow::standins {
namespace {

absl::Status InvalidBody(std::string_view detail) {
  return ErrorAt(absl::StatusCode::kInvalidArgument, "standin.parse", "",
                 detail);
}

}  // namespace

JsonFields JsonFields::Parse(std::string_view text) {
  auto object = std::make_unique<boost::json::object>();
  boost::json::error_code error;
  boost::json::value value =
      boost::json::parse({text.data(), text.size()}, error);
  if (error || !value.is_object()) {
    return JsonFields(std::move(object),
                      InvalidBody("body is not a JSON object"));
  }
  *object = std::move(value.as_object());
  return JsonFields(std::move(object), absl::OkStatus());
}

JsonFields::JsonFields(std::unique_ptr<boost::json::object> object,
                       absl::Status status)
    : object_(std::move(object)), status_(std::move(status)) {}
JsonFields::JsonFields(JsonFields&&) = default;
JsonFields::~JsonFields() = default;

void JsonFields::Bool(std::string_view name, bool* value) {
  const boost::json::value* field = Take(name);
  if (field == nullptr) {
    return;
  }
  if (!field->is_bool()) {
    return Mistyped(name, "true or false");
  }
  *value = field->as_bool();
}

void JsonFields::Int(std::string_view name, int64_t* value) {
  const boost::json::value* field = Take(name);
  if (field == nullptr) {
    return;
  }
  if (!field->is_int64()) {
    return Mistyped(name, "a whole number");
  }
  *value = field->as_int64();
}

void JsonFields::Double(std::string_view name, double* value) {
  const boost::json::value* field = Take(name);
  if (field == nullptr) {
    return;
  }
  if (!field->is_number()) {
    return Mistyped(name, "a number");
  }
  *value = field->to_number<double>();
}

void JsonFields::String(std::string_view name, std::string* value) {
  const boost::json::value* field = Take(name);
  if (field == nullptr) {
    return;
  }
  if (!field->is_string()) {
    return Mistyped(name, "a string");
  }
  *value = std::string(field->as_string());
}

absl::Status JsonFields::Finish() const {
  if (!status_.ok()) {
    return status_;
  }
  for (const auto& field : *object_) {
    const std::string name(field.key());
    if (!known_.contains(name)) {
      return InvalidBody("unknown field \"" + name + "\"");
    }
  }
  return absl::OkStatus();
}

const boost::json::value* JsonFields::Take(std::string_view name) {
  known_.emplace(name);
  return object_->if_contains({name.data(), name.size()});
}

void JsonFields::Mistyped(std::string_view name, std::string_view expected) {
  status_.Update(InvalidBody("field \"" + std::string(name) + "\" must be " +
                             std::string(expected)));
}

void SendJson(ResponseWriter& writer,
              int status,
              const boost::json::value& body) {
  HttpResponse response;
  response.status = status;
  response.headers = {{"Content-Type", "application/json"}};
  response.body = boost::json::serialize(body);
  writer.Send(response).IgnoreError();
}

void SendError(ResponseWriter& writer, int status, std::string_view error) {
  boost::json::object body;
  body["error"] = boost::json::string_view(error.data(), error.size());
  SendJson(writer, status, body);
}

int64_t QueryInt(const HttpRequest& request,
                 std::string_view name,
                 int64_t fallback) {
  const std::optional<std::string> text = request.Query(name);
  int64_t value = 0;
  if (!text.has_value() || !absl::SimpleAtoi(*text, &value)) {
    return fallback;
  }
  return value;
}

}  // namespace hawthornhollow::standins
