// easylogging++ is included only here, so that its macros stay out of every
// other unit.

#include <easylogging++.h>

#include <cstdio>
#include <iostream>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/base/base.h"
#include "hawthornhollow/base/log_stream_internal.h"

INITIALIZE_EASYLOGGINGPP

namespace hawthornhollow {
namespace {

std::atomic<bool> g_to_standard_output{false};
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

}  // namespace

std::ostream& LogStream() {
  return g_to_standard_output ? std::cout : std::cerr;
}

void InitLogging(std::string_view process,
                 LogSeverity minimum,
                 LogOutput output) {
  g_to_standard_output = output == LogOutput::kStandardOutput;
  g_minimum_severity = static_cast<int>(minimum);
  el::Configurations config;
  config.setToDefault();
  config.setGlobally(el::ConfigurationType::ToFile, "false");
  config.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  config.setGlobally(el::ConfigurationType::Format,
                     "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level "
                     "process=" +
                         std::string(process) + " %msg");
  el::Loggers::reconfigureAllLoggers(config);
}

LogEvent::LogEvent(std::string_view event, LogSeverity severity)
    : line_("event=" + std::string(event)), severity_(severity) {}

LogEvent::~LogEvent() {
  if (static_cast<int>(severity_) < g_minimum_severity.load())
    return;
  switch (severity_) {
    case LogSeverity::kDebug:
      LOG(DEBUG) << line_;
      break;
    case LogSeverity::kInfo:
      LOG(INFO) << line_;
      break;
    case LogSeverity::kWarning:
      LOG(WARNING) << line_;
      break;
    case LogSeverity::kError:
      LOG(ERROR) << line_;
      break;
  }
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
