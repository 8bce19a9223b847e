// easylogging++ is included only here, so that its macros stay out of every
// other unit.

#include <easylogging++.h>

#include <unistd.h>

#include <cstdlib>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/base/event_rates_internal.h"
#include "hawthornhollow/base/log_writer_internal.h"

INITIALIZE_EASYLOGGINGPP

namespace hawthornhollow {
namespace {

// How long the end of the process waits for a reader of the log.
constexpr absl::Duration kLastFlush = absl::Milliseconds(500);

std::atomic<LogWriter*> g_writer{nullptr};
std::atomic<int> g_minimum_severity{static_cast<int>(LogSeverity::kInfo)};

bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \"=\n\t") != value.npos;
}

void AppendQuoted(std::string* line, std::string_view value) {
  line->push_back('"');
  for (char c : value) {
    if (c == '"' || c == '\\')
      line->push_back('\\');
    line->push_back(c == '\n' ? ' ' : c);
  }
  line->push_back('"');
}

// Hands the lines of easylogging++ to the writer.
class WriterDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const el::LogMessage* message = data->logMessage();
    g_writer.load()->Push(message->logger()->logBuilder()->build(
        message, /*appendNewLine=*/true));
  }
};

void LogDropped(int64_t lines) {
  LogEvent("log.dropped", LogSeverity::kWarning).Add("lines", lines);
}

void WriteLine(LogSeverity severity, const std::string& line) {
  switch (severity) {
    case LogSeverity::kDebug:
      LOG(DEBUG) << line;
      break;
    case LogSeverity::kInfo:
      LOG(INFO) << line;
      break;
    case LogSeverity::kWarning:
      LOG(WARNING) << line;
      break;
    case LogSeverity::kError:
      LOG(ERROR) << line;
      break;
  }
}

// False if the event has had its share of lines.
bool HasRoom(std::string_view event) {
  // Not destroyed: threads may log until the process has ended.
  static EventRates& rates = *new EventRates(EventRateOptions());
  const EventRates::Verdict verdict = rates.Allow(event, SteadyNow());
  if (verdict.suppressed > 0) {
    WriteLine(LogSeverity::kWarning,
              absl::StrCat("event=log.suppressed of=", std::string(event),
                           " lines=", verdict.suppressed));
  }
  return verdict.allowed;
}

}  // namespace

void InitLogging(std::string_view process,
                 LogSeverity minimum,
                 LogOutput output) {
  g_minimum_severity = static_cast<int>(minimum);
  el::Configurations config;
  config.setToDefault();
  config.setGlobally(el::ConfigurationType::ToFile, "false");
  config.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  config.setGlobally(el::ConfigurationType::Format,
                     "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level "
                     "process=" +
                         std::string(process) + " %msg");
  el::Loggers::reconfigureAllLoggers(config);
  if (g_writer != nullptr)
    return;
  g_writer = LogWriter::Create(
      {.file_descriptor =
           output == LogOutput::kStandardOutput ? STDOUT_FILENO : STDERR_FILENO,
       .on_dropped = &LogDropped});
  el::Helpers::installLogDispatchCallback<WriterDispatch>("writer");
  std::atexit([] { g_writer.load()->Flush(kLastFlush); });
}

LogEvent::LogEvent(std::string_view event, LogSeverity severity)
    : event_(event), line_("event=" + event_), severity_(severity) {}

LogEvent::~LogEvent() {
  if (static_cast<int>(severity_) < g_minimum_severity.load() ||
      !HasRoom(event_))
    return;
  WriteLine(severity_, line_);
}

LogEvent& LogEvent::Add(std::string_view key, std::string_view value) {
  line_.push_back(' ');
  line_.append(key);
  line_.push_back('=');
  if (NeedsQuotes(value))
    AppendQuoted(&line_, value);
  else
    line_.append(value);
  return *this;
}

LogEvent& LogEvent::Add(std::string_view key, double value) {
  return Add(key, std::string_view(absl::StrCat(value)));
}

LogEvent& LogEvent::Add(std::string_view key, const absl::Status& status) {
  return Add(key, std::string_view(status.ToString()));
}

}  // namespace hawthornhollow
