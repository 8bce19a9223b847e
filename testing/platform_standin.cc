#include "testing/platform_standin.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <set>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "hawthornhollow/runtime/runtime.h"
#include "testing/standin_support.h"

namespace hawthornhollow::standins {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kMisdirected = 421;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;
constexpr size_t kLengthBytes = 4;
constexpr size_t kOffsetBytes = 8;

void AppendNumber(std::string* out, uint64_t value, size_t bytes) {
  for (size_t i = bytes; i-- > 0;)
    out->push_back(static_cast<char>(value >> (8 * i) & 0xff));
}

std::string Topic(const HttpRequest& request) {
  return request.Query("topic").value_or("");
}

}  // namespace

StoreStandin::Place StoreStandin::PlaceOf(const HttpRequest& request) {
  return {.writer = request.Query("producer").value_or(""),
          .epoch = QueryInt(request, "epoch", 0),
          .sequence = QueryInt(request, "sequence", 0)};
}

bool StoreStandin::Follows(const Place& place, const Place& last) {
  return place.epoch > last.epoch ||
         (place.epoch == last.epoch && place.sequence == last.sequence + 1);
}

HttpHandler StoreStandin::Handler() {
  return [this](const HttpRequest& request, ResponseWriter& writer) {
    Serve(request, writer);
  };
}

void StoreStandin::Put(const std::string& topic,
                       const std::string& key,
                       const std::string& value) {
  const std::lock_guard lock(mutex_);
  topics_[topic].push_back({key, value});
}

void StoreStandin::SetOutage(bool outage) {
  const std::lock_guard lock(mutex_);
  outage_ = outage;
}

void StoreStandin::TakeCopy() {
  const std::lock_guard lock(mutex_);
  copied_topics_ = topics_;
  copied_writers_ = writers_;
}

void StoreStandin::Restore() {
  const std::lock_guard lock(mutex_);
  topics_ = copied_topics_;
  writers_ = copied_writers_;
  ++era_;
}

bool StoreStandin::has_copy() const {
  const std::lock_guard lock(mutex_);
  return !copied_topics_.empty();
}

size_t StoreStandin::router_count() const {
  const std::lock_guard lock(mutex_);
  const auto found = topics_.find("keyed.levels");
  std::set<std::string> keys;
  if (found != topics_.end()) {
    for (const Record& record : found->second)
      keys.insert(record.key);
  }
  return keys.size();
}

HttpHeaders StoreStandin::EraHeader() const {
  const std::lock_guard lock(mutex_);
  return {{"Store-Era", std::to_string(era_)}};
}

int64_t StoreStandin::calls() const {
  const std::lock_guard lock(mutex_);
  return calls_;
}

void StoreStandin::SendAnswer(ResponseWriter& writer,
                              int status,
                              const boost::json::object& answer) const {
  HttpHeaders headers = EraHeader();
  headers.emplace_back("Content-Type", "application/json");
  writer
      .Send({.status = status,
             .headers = headers,
             .body = boost::json::serialize(answer)})
      .IgnoreError();
}

void StoreStandin::Serve(const HttpRequest& request, ResponseWriter& writer) {
  bool outage = false;
  {
    const std::lock_guard lock(mutex_);
    ++calls_;
    outage = outage_;
  }
  if (outage) {
    writer.Send({.status = kUnavailable, .headers = EraHeader()}).IgnoreError();
    return;
  }
  if (request.Path() == "/log-append")
    return Append(request, writer);
  if (request.Path() == "/log-read")
    return Read(request, writer);
  if (request.Path() == "/log-newest")
    return Newest(request, writer);
  SendError(writer, kNotFound, "no such call");
}

// Takes one keyed record.
void StoreStandin::Append(const HttpRequest& request, ResponseWriter& writer) {
  boost::json::object answer;
  int status = kOk;
  {
    const std::lock_guard lock(mutex_);
    std::vector<Record>& records = topics_[Topic(request)];
    const auto end = static_cast<int64_t>(records.size());
    const Place place = PlaceOf(request);
    Place& last = writers_[Topic(request) + "/" + place.writer];
    if (QueryInt(request, "at", end) != end) {
      status = kPreconditionFailed;
    } else if (!place.writer.empty() && place != last &&
               !Follows(place, last)) {
      status = kConflict;
    } else if (!place.writer.empty() && place == last) {
      answer["offset"] = end - 1;  // a repeat
    } else {
      last = place;
      const std::string& body = request.body;
      const auto key_bytes =
          static_cast<size_t>(static_cast<unsigned char>(body[kLengthBytes]));
      records.push_back({body.substr(kLengthBytes + 1, key_bytes),
                         body.substr(kLengthBytes + 1 + key_bytes)});
      answer["offset"] = end;
    }
    answer["end"] = static_cast<int64_t>(records.size());
  }
  SendAnswer(writer, status, answer);
}

void StoreStandin::Read(const HttpRequest& request, ResponseWriter& writer) {
  std::string body;
  int status = kOk;
  {
    const std::lock_guard lock(mutex_);
    const std::vector<Record>& records = topics_[Topic(request)];
    AppendNumber(&body, records.size(), kOffsetBytes);
    AppendNumber(&body, 0, kOffsetBytes);
    const auto from = static_cast<size_t>(QueryInt(request, "from", 0));
    if (from > records.size())
      status = kGone;
    for (size_t i = from; i < records.size(); ++i) {
      const Record& record = records[i];
      AppendNumber(&body, 1 + record.key.size() + record.value.size(),
                   kLengthBytes);
      AppendNumber(&body, record.key.size(), 1);
      body += record.key + record.value;
    }
  }
  writer.Send({.status = status, .headers = EraHeader(), .body = body})
      .IgnoreError();
}

void StoreStandin::Newest(const HttpRequest& request, ResponseWriter& writer) {
  boost::json::object answer;
  {
    const std::lock_guard lock(mutex_);
    const std::vector<Record>& records = topics_[Topic(request)];
    std::map<std::string, size_t> newest;
    for (size_t i = 0; i < records.size(); ++i)
      newest[records[i].key] = i;
    boost::json::array items;
    for (const auto& [key, offset] : newest) {
      const std::string value = absl::Base64Escape(records[offset].value);
      items.push_back({{"key", key}, {"value", value}, {"offset", offset}});
    }
    answer["items"] = std::move(items);
    answer["has_more"] = false;
    answer["end"] = static_cast<int64_t>(records.size());
  }
  SendAnswer(writer, kOk, answer);
}

HttpHandler ReplicaStandin::Handler() {
  return [this](const HttpRequest& request, ResponseWriter& writer) {
    Serve(request, writer);
  };
}

void ReplicaStandin::SetFaults(const Faults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
}

void ReplicaStandin::SetEventPause(absl::Duration pause) {
  const std::lock_guard lock(mutex_);
  event_pause_ = pause;
}

std::map<std::string, int> ReplicaStandin::runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

bool ReplicaStandin::CrashesAt(CrashPoint point,
                               const HttpRequest& request,
                               const Faults& faults) {
  if (faults.deadly_part.empty() || faults.crash_point != point ||
      std::string(request.Header("Prompt-Prefix"))
              .find(faults.deadly_part + ":") == std::string::npos)
    return false;
  const std::lock_guard lock(mutex_);
  ++crashes_;
  return true;
}

std::vector<absl::Time> ReplicaStandin::arrivals() const {
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

HttpHeaders ReplicaStandin::AnswerHeaders(const std::string& seal,
                                          const std::string& request,
                                          const Faults& faults) {
  HttpHeaders headers = {{"Attempt-Id", request}};
  if (!seal.empty())
    headers.emplace_back("Replica-Seal", seal);
  if (!faults.stated_limit.empty())
    headers.emplace_back("Server-Limit", faults.stated_limit);
  if (faults.says_leaving)
    headers.emplace_back("Server-Leaving", "1");
  const absl::Duration cold_for = faults.cold_until - absl::Now();
  if (!faults.stated_cold.empty()) {
    headers.emplace_back("Cold-Ms", faults.stated_cold);
  } else if (cold_for > absl::ZeroDuration()) {
    headers.emplace_back("Cold-Ms",
                         std::to_string(absl::ToInt64Milliseconds(cold_for)));
  }
  return headers;
}

int ReplicaStandin::crashes() const {
  const std::lock_guard lock(mutex_);
  return crashes_;
}

void ReplicaStandin::Serve(const HttpRequest& request, ResponseWriter& writer) {
  const std::string id(request.Header("Attempt-Id"));
  Faults faults;
  {
    const std::lock_guard lock(mutex_);
    faults = faults_;
    arrivals_.push_back(absl::Now());
  }
  if (request.Header("Expect-Replica") != id_) {
    writer.Send({.status = kMisdirected, .headers = {{"Replica-Id", id_}}})
        .IgnoreError();
    return;
  }
  if (faults.refuse) {
    HttpHeaders headers = AnswerHeaders("", id, faults);
    headers.emplace_back("Not-Executed", "1");
    if (!faults.stated_rest.empty())
      headers.emplace_back("Retry-After", faults.stated_rest);
    writer.Send({.status = kUnavailable, .headers = headers}).IgnoreError();
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    ++runs_[id];
  }
  hawthornhollow::SleepFor(faults.work_time);
  if (request.Path().starts_with("/stream/"))
    return ServeStream(request, faults, writer);
  if (faults.lose_answers)
    return writer.Abort();
  if (faults.fail) {
    writer
        .Send({.status = kInternalError,
               .headers = AnswerHeaders(id_, id, faults),
               .body = "failed"})
        .IgnoreError();
    return;
  }
  writer.Send({.headers = AnswerHeaders(id_, id, faults), .body = "done " + id})
      .IgnoreError();
}

std::string ReplicaStandin::Event(int64_t number) {
  return absl::StrCat("id: ", number, "\ndata: piece ", number, "\n\n");
}

std::string ReplicaStandin::WholeStream() {
  std::string stream;
  for (int64_t i = 1; i <= kEvents; ++i)
    stream += Event(i);
  return stream;
}

void ReplicaStandin::ServeStream(const HttpRequest& request,
                                 const Faults& faults,
                                 ResponseWriter& writer) {
  absl::Duration pause;
  {
    const std::lock_guard lock(mutex_);
    pause = event_pause_;
  }
  const std::string resume(request.Header("Last-Event-Id"));
  int64_t next = resume.empty() ? 1 : std::stoll(resume) + 1;
  HttpHeaders headers =
      AnswerHeaders(id_, std::string(request.Header("Attempt-Id")), faults);
  headers.emplace_back("Content-Type", "text/event-stream");
  if (CrashesAt(CrashPoint::kBeforeHead, request, faults))
    return writer.Abort();
  if (!writer.StartStream(kOk, headers).ok())
    return;
  if (CrashesAt(CrashPoint::kAfterHead, request, faults))
    return writer.Abort();
  for (int sent = 0; next <= kEvents; ++next, ++sent) {
    if (sent == faults.break_after_events) {
      writer.Write("id: " + std::to_string(next) + "\nda").IgnoreError();
      return writer.Abort();
    }
    hawthornhollow::SleepFor(pause);
    if (resume.empty() && next == faults.end_inside_event) {
      writer.Write("id: " + std::to_string(next) + "\nda").IgnoreError();
      break;
    }
    if (!writer.Write(Event(next)).ok())
      return;
    if (CrashesAt(CrashPoint::kAfterFirstEvent, request, faults))
      return writer.Abort();
  }
  writer.Finish().IgnoreError();
}

}  // namespace hawthornhollow::standins
