#include "tools/load/scenario.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <set>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/base/base.h"

namespace hawthornhollow::load {
namespace {

namespace json = boost::json;

constexpr double kMaxSeconds = 120;
constexpr double kMaxPerSecond = 5000;
constexpr int64_t kMaxProcesses = 50;
constexpr int64_t kMaxTokens = 10'000;
constexpr int64_t kMaxPromptChars = 100'000;
const char* const kActions[] = {
    "kill_router",   "term_router", "stop_router",   "continue_router",
    "start_router",  "kill_server", "slow_engine",   "freeze_engine",
    "outage_engine", "cut_domain",  "restore_domain"};

// Reads one object's fields and notes the first fault.
class Reader {
 public:
  Reader(std::string file, std::string path, const json::value& value)
      : file_(std::move(file)), path_(std::move(path)) {
    if (value.is_object())
      object_ = &value.get_object();
    else
      Fail("", "must be an object");
  }

  double Number(const char* field, double fallback, double min, double max) {
    const json::value* value = Find(field);
    if (value == nullptr)
      return fallback;
    boost::system::error_code error;
    auto number = value->to_number<double>(error);
    if (error || number < min || number > max) {
      Fail(field, absl::StrCat("must be a number from ", min, " to ", max));
      return fallback;
    }
    return number;
  }

  int64_t Integer(const char* field,
                  int64_t fallback,
                  int64_t min,
                  int64_t max) {
    double number = Number(field, static_cast<double>(fallback),
                           static_cast<double>(min), static_cast<double>(max));
    return static_cast<int64_t>(number);
  }

  std::string Text(const char* field, const std::string& fallback) {
    const json::value* value = Find(field);
    if (value == nullptr)
      return fallback;
    if (!value->is_string()) {
      Fail(field, "must be a string");
      return fallback;
    }
    return std::string(value->get_string());
  }

  bool Flag(const char* field) {
    const json::value* value = Find(field);
    if (value != nullptr && !value->is_bool())
      Fail(field, "must be true or false");
    return value != nullptr && value->is_bool() && value->get_bool();
  }

  // Reads every object of an array with `read`.
  template <typename Read>
  void Each(const char* field, Read read) {
    const json::value* value = Find(field);
    if (value == nullptr)
      return;
    if (!value->is_array()) {
      Fail(field, "must be an array");
      return;
    }
    int number = 0;
    for (const json::value& element : value->get_array()) {
      Reader reader(file_, absl::StrCat(path_, field, "[", number++, "]."),
                    element);
      read(reader);
      Take(reader.Finish());
    }
  }

  const json::value* Find(const char* field) {
    known_.insert(field);
    return object_ == nullptr ? nullptr : object_->if_contains(field);
  }

  void Fail(std::string_view field, std::string_view reason) {
    if (!status_.ok())
      return;
    status_ = ErrorAt(
        absl::StatusCode::kInvalidArgument, "scenario.read", file_,
        absl::StrCat(path_, std::string(field), ": ", std::string(reason)));
  }

  void Take(const absl::Status& status) {
    if (status_.ok())
      status_ = status;
  }

  // Also faults fields that nothing has asked for.
  absl::Status Finish() {
    if (object_ != nullptr) {
      for (const auto& field : *object_) {
        std::string key(field.key().data(), field.key().size());
        if (!known_.contains(key))
          Fail(key, "is not known");
      }
    }
    return status_;
  }

 private:
  std::string file_;
  std::string path_;
  const json::object* object_ = nullptr;
  std::set<std::string> known_;
  absl::Status status_;
};

FleetShape ReadFleet(Reader& reader) {
  FleetShape shape;
  shape.routers = reader.Integer("routers", shape.routers, 1, kMaxProcesses);
  shape.engines = reader.Integer("engines", shape.engines, 1, kMaxProcesses);
  shape.slots = reader.Integer("slots", shape.slots, 1, 1000);
  shape.token_ms = reader.Integer("token_ms", shape.token_ms, 1, 1000);
  shape.output_tokens =
      reader.Integer("output_tokens", shape.output_tokens, 1, kMaxTokens);
  return shape;
}

StreamShape ReadStream(Reader& reader, const Scenario& scenario) {
  StreamShape stream;
  stream.name = reader.Text("name", "");
  stream.caller = reader.Text("caller", stream.caller);
  stream.rank = reader.Text("rank", "urgent");
  stream.per_second = reader.Number("per_second", 0, 0, kMaxPerSecond);
  double capacity = scenario.fleet.Capacity();
  stream.per_second +=
      capacity * reader.Number("capacity", 0, 0, kMaxPerSecond / capacity);
  stream.prompt_chars =
      reader.Integer("prompt_chars", stream.prompt_chars, 1, kMaxPromptChars);
  stream.output_tokens = reader.Integer(
      "output_tokens", scenario.fleet.output_tokens, 1, kMaxTokens);
  stream.start_s = reader.Number("start_s", 0, 0, scenario.seconds);
  stream.stop_s =
      reader.Number("stop_s", scenario.seconds, 0, scenario.seconds);
  stream.direct = reader.Flag("direct");
  if (stream.name.empty())
    reader.Fail("name", "is missing");
  if (stream.per_second <= 0)
    reader.Fail("per_second", "or capacity must be above 0");
  if (scenario.FindRank(stream.rank) == nullptr)
    reader.Fail("rank", "names no rank of the scenario");
  return stream;
}

FaultEvent ReadEvent(Reader& reader, const Scenario& scenario) {
  FaultEvent event;
  event.at_s = reader.Number("at_s", 0, 0, scenario.seconds);
  event.action = reader.Text("action", "");
  event.factor = reader.Number("factor", 1, 0, 1000);
  bool known = std::find(std::begin(kActions), std::end(kActions),
                         event.action) != std::end(kActions);
  if (!known)
    reader.Fail("action", "is not known");
  bool engine = event.action.find("engine") != std::string::npos ||
                event.action == "kill_server";
  int64_t count = engine ? scenario.fleet.engines : scenario.fleet.routers;
  event.target = reader.Integer("target", 0, 0, count - 1);
  return event;
}

Expectation ReadExpectation(Reader& reader) {
  Expectation expectation;
  expectation.phase = reader.Text("phase", "");
  expectation.subject = reader.Text("subject", "all");
  expectation.figure = reader.Text("figure", "");
  expectation.over_phase = reader.Text("over_phase", "");
  expectation.over_subject = reader.Text("over_subject", "");
  expectation.min = reader.Number("min", 0, 0, 1e9);
  expectation.max = reader.Number("max", 0, 0, 1e9);
  return expectation;
}

std::vector<RankShape> DefaultRanks() {
  return {
      {"urgent", 1800, 0}, {"middling", 4000, 0.1}, {"can-wait", 10000, 0.05}};
}

void ReadAll(Reader& reader, const std::string& file, Scenario* scenario) {
  scenario->name = reader.Text("name", "");
  if (scenario->name.empty())
    reader.Fail("name", "is missing");
  scenario->seed = static_cast<uint64_t>(reader.Integer("seed", 1, 0, 1 << 30));
  scenario->seconds = reader.Number("seconds", 10, 1, kMaxSeconds);
  scenario->client_timeout_s =
      reader.Number("client_timeout_s", scenario->client_timeout_s, 0.1, 60);
  if (const json::value* fleet = reader.Find("fleet")) {
    Reader fleet_reader(file, "fleet.", *fleet);
    scenario->fleet = ReadFleet(fleet_reader);
    reader.Take(fleet_reader.Finish());
  }
  reader.Each("ranks", [&](Reader& rank) {
    scenario->ranks.push_back({rank.Text("name", ""),
                               rank.Integer("target_ms", 2000, 1, 1'000'000),
                               rank.Number("floor", 0, 0, 1)});
  });
  if (scenario->ranks.empty())
    scenario->ranks = DefaultRanks();
  reader.Each("streams", [&](Reader& stream) {
    scenario->streams.push_back(ReadStream(stream, *scenario));
  });
  if (scenario->streams.empty())
    reader.Fail("streams", "must not be empty");
  reader.Each("events", [&](Reader& event) {
    scenario->events.push_back(ReadEvent(event, *scenario));
  });
  reader.Each("phases", [&](Reader& phase) {
    scenario->phases.push_back({phase.Text("name", ""),
                                phase.Number("from_s", 0, 0, kMaxSeconds),
                                phase.Number("to_s", 0, 0, kMaxSeconds)});
  });
  if (scenario->phases.empty())
    scenario->phases.push_back({"whole", 0, scenario->seconds});
  reader.Each("expect", [&](Reader& expectation) {
    scenario->expectations.push_back(ReadExpectation(expectation));
  });
}

}  // namespace

double FleetShape::Capacity() const {
  double seconds = static_cast<double>(output_tokens * token_ms) / 1000;
  return static_cast<double>(engines * slots) / seconds;
}

const RankShape* Scenario::FindRank(std::string_view rank) const {
  for (const RankShape& shape : ranks) {
    if (shape.name == rank)
      return &shape;
  }
  return nullptr;
}

absl::StatusOr<Scenario> Scenario::Parse(std::string_view file,
                                         std::string_view text) {
  std::string name(file);
  boost::system::error_code error;
  json::value value = json::parse({text.data(), text.size()}, error);
  if (error)
    return ErrorAt(absl::StatusCode::kInvalidArgument, "scenario.read", name,
                   error.message());
  Reader reader(name, "", value);
  Scenario scenario;
  ReadAll(reader, name, &scenario);
  if (absl::Status status = reader.Finish(); !status.ok())
    return status;
  std::stable_sort(
      scenario.events.begin(), scenario.events.end(),
      [](const auto& a, const auto& b) { return a.at_s < b.at_s; });
  return scenario;
}

absl::StatusOr<Scenario> Scenario::Read(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  if (!in)
    return ErrorAt(absl::StatusCode::kNotFound, "scenario.read", path,
                   "cannot be read");
  return Parse(path, text.str());
}

}  // namespace hawthornhollow::load
