#include "testing/log_standin.h"

#include <algorithm>
#include <boost/json.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/time/clock.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/runtime/runtime.h"
#include "testing/standin_support.h"

namespace hawthornhollow::standins {
namespace {

constexpr std::string_view kStreamsPath = "/streams/";
constexpr int64_t kDefaultReadEntries = 1000;
constexpr int64_t kMaxWaitMs = 60'000;
// Appends that may come at once, as a share of a second's.
constexpr double kBurstSeconds = 0.1;

struct Stream {
  int64_t oldest = 0;
  std::deque<std::string> entries;
  int64_t appends = 0;
  int64_t bytes = 0;
  int64_t reads = 0;
  FiberSignal appended;

  int64_t next() const { return oldest + static_cast<int64_t>(entries.size()); }
};

struct HeldAppend {
  std::string stream;
  std::string data;
};

// A token bucket.
class RateLimit {
 public:
  bool Take(int64_t rate) {
    if (rate == 0) {
      return true;
    }
    const absl::Time now = absl::Now();
    const double burst =
        std::max(1.0, static_cast<double>(rate) * kBurstSeconds);
    tokens_ += absl::ToDoubleSeconds(now - filled_) * static_cast<double>(rate);
    tokens_ = std::min(tokens_, burst);
    filled_ = now;
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = 0;
  absl::Time filled_ = absl::UnixEpoch();
};

absl::Status Check(const LogStandinOptions& options) {
  const bool valid = options.rate >= 0 && options.retention >= 1 &&
                     options.append_delay_ms >= 0 &&
                     options.read_delay_ms >= 0 && options.lose_replies >= 0 &&
                     options.lose_replies <= 1;
  if (valid) {
    return absl::OkStatus();
  }
  return ErrorAt(absl::StatusCode::kInvalidArgument, "log.options", "",
                 "rate and delays must not be negative, retention must be at "
                 "least 1, lose_replies must lie in 0 to 1");
}

class LogStandin {
 public:
  explicit LogStandin(const LogStandinOptions& options)
      : options_(options), chance_(options.seed) {}

  void Handle(const HttpRequest& request, ResponseWriter& writer) {
    const std::string path(request.Path());
    if (path == "/control") {
      return request.method == "POST" ? Control(request, writer)
                                      : ShowControl(writer);
    }
    if (!path.starts_with(kStreamsPath)) {
      return SendError(writer, 404, "no such path");
    }
    const std::string name = path.substr(kStreamsPath.size());
    if (request.method == "POST") {
      return Append(name, request, writer);
    }
    Read(name, request, writer);
  }

 private:
  void Append(const std::string& name,
              const HttpRequest& request,
              ResponseWriter& writer) {
    if (outage_) {
      return SendError(writer, 503, "outage");
    }
    if (!rate_limit_.Take(options_.rate)) {
      return SendError(writer, 429, "over the append rate");
    }
    if (hold_appends_) {
      held_.push_back({name, request.body});
      return writer.Abort();
    }
    hawthornhollow::SleepFor(absl::Milliseconds(options_.append_delay_ms));
    const int64_t offset = Store(name, request.body);
    if (chance_.Hit(options_.lose_replies)) {
      return LoseReply(writer);
    }
    SendJson(writer, 200, boost::json::object{{"offset", offset}});
  }

  void LoseReply(ResponseWriter& writer) {
    if (chance_.Hit(0.5)) {
      return writer.Abort();
    }
    SendError(writer, 503, "reply lost");
  }

  int64_t Store(const std::string& name, const std::string& data) {
    Stream& stream = streams_[name];
    const int64_t offset = stream.next();
    stream.entries.push_back(data);
    ++stream.appends;
    stream.bytes += static_cast<int64_t>(data.size());
    Trim(stream);
    stream.appended.NotifyAll();
    return offset;
  }

  void Trim(Stream& stream) {
    while (static_cast<int64_t>(stream.entries.size()) > options_.retention) {
      stream.entries.pop_front();
      ++stream.oldest;
    }
  }

  void Read(const std::string& name,
            const HttpRequest& request,
            ResponseWriter& writer) {
    const int64_t from = QueryInt(request, "from", 0);
    const int64_t max = QueryInt(request, "max", kDefaultReadEntries);
    const int64_t wait_ms =
        std::clamp<int64_t>(QueryInt(request, "wait_ms", 0), 0, kMaxWaitMs);
    hawthornhollow::SleepFor(absl::Milliseconds(options_.read_delay_ms));
    Stream& stream = streams_[name];
    ++stream.reads;
    if (wait_ms > 0) {
      stream.appended.WaitFor(absl::Milliseconds(wait_ms),
                              [&] { return outage_ || stream.next() > from; });
    }
    if (outage_) {
      return SendError(writer, 503, "outage");
    }
    SendJson(writer, 200, Entries(stream, from, max));
  }

  static boost::json::object Entries(const Stream& stream,
                                     int64_t from,
                                     int64_t max) {
    boost::json::array entries;
    const int64_t first = std::max(from, stream.oldest);
    const int64_t end =
        std::min(stream.next(), first + std::max<int64_t>(max, 0));
    for (int64_t offset = first; offset < end; ++offset) {
      const std::string& data =
          stream.entries[static_cast<size_t>(offset - stream.oldest)];
      entries.push_back(boost::json::object{
          {"offset", offset}, {"data", absl::Base64Escape(data)}});
    }
    return {{"oldest", stream.oldest},
            {"next", stream.next()},
            {"entries", std::move(entries)}};
  }

  void Control(const HttpRequest& request, ResponseWriter& writer) {
    JsonFields fields = JsonFields::Parse(request.body);
    LogStandinOptions options = options_;
    bool outage = outage_;
    bool hold_appends = hold_appends_;
    bool release = false;
    fields.Bool("outage", &outage);
    fields.Int("append_delay_ms", &options.append_delay_ms);
    fields.Int("read_delay_ms", &options.read_delay_ms);
    fields.Double("lose_replies", &options.lose_replies);
    fields.Int("rate", &options.rate);
    fields.Int("retention", &options.retention);
    fields.Bool("hold_appends", &hold_appends);
    fields.Bool("release", &release);
    absl::Status status = fields.Finish();
    status.Update(Check(options));
    if (!status.ok()) {
      return SendError(writer, 400, status.ToString());
    }
    options_ = options;
    outage_ = outage;
    hold_appends_ = hold_appends;
    ApplyControl(release);
    ShowControl(writer);
  }

  void ApplyControl(bool release) {
    if (release) {
      for (const HeldAppend& append : std::exchange(held_, {})) {
        Store(append.stream, append.data);
      }
    }
    for (auto& [name, stream] : streams_) {
      Trim(stream);
      stream.appended.NotifyAll();
    }
  }

  void ShowControl(ResponseWriter& writer) const {
    boost::json::object streams;
    for (const auto& [name, stream] : streams_) {
      streams[name] = boost::json::object{
          {"oldest", stream.oldest},   {"next", stream.next()},
          {"appends", stream.appends}, {"bytes", stream.bytes},
          {"reads", stream.reads},
      };
    }
    SendJson(writer, 200,
             boost::json::object{
                 {"outage", outage_},
                 {"append_delay_ms", options_.append_delay_ms},
                 {"read_delay_ms", options_.read_delay_ms},
                 {"lose_replies", options_.lose_replies},
                 {"rate", options_.rate},
                 {"retention", options_.retention},
                 {"hold_appends", hold_appends_},
                 {"held", held_.size()},
                 {"streams", std::move(streams)},
             });
  }

  LogStandinOptions options_;
  Chance chance_;
  RateLimit rate_limit_;
  bool outage_ = false;
  bool hold_appends_ = false;
  std::vector<HeldAppend> held_;
  // Streams never go, so that waiting reads may refer to them.
  std::map<std::string, Stream> streams_;
};

}  // namespace

absl::StatusOr<HttpHandler> MakeLogStandin(const LogStandinOptions& options) {
  absl::Status status = Check(options);
  if (!status.ok()) {
    return status;
  }
  auto log = std::make_shared<LogStandin>(options);
  return HttpHandler([log](const HttpRequest& request, ResponseWriter& writer) {
    log->Handle(request, writer);
  });
}

}  // namespace hawthornhollow::standins
