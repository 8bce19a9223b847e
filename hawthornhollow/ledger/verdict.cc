// Formats a verdict as one line of the audit trail.

#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

#include "absl/strings/str_cat.h"
#include "hawthornhollow/ledger/ledger.h"

namespace hawthornhollow {
namespace {

// Maximum number of file names listed for one publish; the others are counted.
constexpr size_t kMaxListedFiles = 20;

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \t\r\n\"=\\") != std::string_view::npos;
}

std::string Quote(std::string_view value) {
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '\n') {
      quoted += "\\n";
      continue;
    }
    if (c == '\r') {
      quoted += "\\r";
      continue;
    }
    if (c == '"' || c == '\\')
      quoted += '\\';
    quoted += c;
  }
  quoted += '"';
  return quoted;
}

// Builds a line of key=value pairs.
class KeyValueLine {
 public:
  KeyValueLine& Add(std::string_view key, std::string_view value) {
    Separate(key);
    line_ += NeedsQuotes(value) ? Quote(value) : std::string(value);
    return *this;
  }
  KeyValueLine& Add(std::string_view key, int64_t value) {
    Separate(key);
    line_ += std::to_string(value);
    return *this;
  }
  std::string Take() { return std::move(line_); }

 private:
  void Separate(std::string_view key) {
    if (!line_.empty())
      line_ += ' ';
    line_ += key;
    line_ += '=';
  }

  std::string line_;
};

// Returns the names of the changed files, separated by commas; "-" precedes the
// name of a removed file.
std::string ListFiles(const std::vector<FileChange>& changes) {
  std::string list;
  const size_t listed = std::min(changes.size(), kMaxListedFiles);
  for (size_t i = 0; i < listed; ++i) {
    const std::string_view prefix = changes[i].text.has_value() ? "" : "-";
    absl::StrAppend(&list, i == 0 ? "" : ",", std::string(prefix),
                    changes[i].file);
  }
  if (changes.size() > listed)
    absl::StrAppend(&list, ",+", changes.size() - listed);
  return list;
}

void AddBody(KeyValueLine& line, const PublishRecord& r) {
  line.Add("record", "publish").Add("id", r.id);
  line.Add("operator", r.operator_name).Add("base", r.base_version);
  line.Add("files", ListFiles(r.changes));
}

void AddBody(KeyValueLine& line, const RouterOpenRecord& r) {
  line.Add("record", "router_open").Add("incarnation", r.incarnation);
  line.Add("name", r.name).Add("failure_domain", r.failure_domain);
}

void AddBody(KeyValueLine& line, const RouterAliveRecord& r) {
  line.Add("record", "router_alive").Add("incarnation", r.incarnation);
}

void AddBody(KeyValueLine& line, const RouterClosedRecord& r) {
  line.Add("record", "router_closed").Add("incarnation", r.incarnation);
}

void AddBody(KeyValueLine& line, const RouterSuspectRecord& r) {
  line.Add("record", "router_suspect").Add("incarnation", r.incarnation);
  line.Add("because", r.reason);
}

void AddBody(KeyValueLine& line, const GateOpenRecord& r) {
  line.Add("record", "gate_open").Add("gate", r.gate);
  line.Add("incarnation", r.incarnation).Add("server", r.server);
}

void AddBody(KeyValueLine& line, const GateClosedRecord& r) {
  line.Add("record", "gate_closed").Add("incarnation", r.incarnation);
}

void AddBody(KeyValueLine& line, const GateSealedRecord& r) {
  line.Add("record", "gate_sealed").Add("incarnation", r.incarnation);
  line.Add("router", r.router);
}

void AddBody(KeyValueLine& line, const GateSettledRecord& r) {
  line.Add("record", "gate_settled").Add("router", r.router);
  line.Add("gate_incarnation", r.gate_incarnation);
}

void AddBody(KeyValueLine& line, const BudgetVotedRecord& r) {
  line.Add("record", "budget_voted").Add("budget", r.budget);
  line.Add("tokens", r.tokens).Add("config_version", r.config_version);
}

void AddBody(KeyValueLine& line, const GrantRequestRecord& r) {
  line.Add("record", "grant_request").Add("budget", r.budget);
  line.Add("incarnation", r.incarnation);
  line.Add("tokens", r.tokens).Add("minimum", r.minimum);
}

void AddBody(KeyValueLine& line, const GrantReturnRecord& r) {
  line.Add("record", "grant_return").Add("budget", r.budget);
  line.Add("incarnation", r.incarnation).Add("tokens", r.tokens);
}

void AddBody(KeyValueLine& line, const ClaimRecord& r) {
  line.Add("record", "claim").Add("request", r.request);
  line.Add("budget", r.budget).Add("incarnation", r.incarnation);
  line.Add("gate_incarnation", r.gate_incarnation).Add("server", r.server);
}

void AddBody(KeyValueLine& line, const ClaimReleasedRecord& r) {
  line.Add("record", "claim_released").Add("request", r.request);
  line.Add("incarnation", r.incarnation);
}

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kCompleted:
      return "completed";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kCancelled:
      return "cancelled";
  }
  return "invalid";
}

void AddBody(KeyValueLine& line, const BillRecord& r) {
  line.Add("record", "bill").Add("request", r.request);
  line.Add("budget", r.budget).Add("caller", r.caller);
  line.Add("incarnation", r.incarnation).Add("server", r.server);
  line.Add("witness", r.witness).Add("prompt_tokens", r.prompt_tokens);
  line.Add("output_tokens", r.output_tokens);
  line.Add("charged_tokens", r.charged_tokens);
  line.Add("outcome", OutcomeName(r.outcome));
}

void AddBody(KeyValueLine& line, const AccountClosedRecord& r) {
  line.Add("record", "account_closed").Add("incarnation", r.incarnation);
  line.Add("charge_remainder", r.charge_remainder ? "true" : "false");
}

void AddBody(KeyValueLine& line, const CheckpointRecord& r) {
  line.Add("record", "checkpoint").Add("state_offset", r.offset);
  line.Add("bytes", static_cast<int64_t>(r.state.size()));
}

std::string_view KindName(VerdictKind kind) {
  switch (kind) {
    case VerdictKind::kAccepted:
      return "accepted";
    case VerdictKind::kRejected:
      return "void";
    case VerdictKind::kDuplicate:
      return "repeat";
  }
  return "invalid";
}

}  // namespace

std::string FormatVerdict(const Verdict& verdict) {
  KeyValueLine line;
  line.Add("offset", verdict.offset).Add("writer", verdict.writer);
  line.Add("sequence", verdict.record.sequence);
  line.Add("time_ms", verdict.record.time_ms);
  std::visit([&line](const auto& body) { AddBody(line, body); },
             verdict.record.body);
  line.Add("verdict", KindName(verdict.kind)).Add("amount", verdict.amount);
  if (!verdict.reason.empty())
    line.Add("reason", verdict.reason);
  return line.Take();
}

}  // namespace hawthornhollow
