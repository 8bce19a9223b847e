#include "hawthornhollow/cli/output.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "absl/strings/str_split.h"
#include "absl/time/time.h"
#include "boost/json/serialize.hpp"
#include "hawthornhollow/cli/cli.h"

namespace hawthornhollow {
namespace {

constexpr size_t kColumnGap = 2;

bool IsNumber(const std::string& cell) {
  return !cell.empty() &&
         cell.find_first_not_of("0123456789.-") == std::string::npos;
}

}  // namespace

Table::Table(std::vector<std::string> headers) {
  rows_.push_back(std::move(headers));
}

void Table::AddRow(std::vector<std::string> cells) {
  rows_.push_back(std::move(cells));
}

std::string Table::ToString() const {
  size_t columns = rows_.front().size();
  std::vector<size_t> widths(columns, 0);
  std::vector<bool> numeric(columns, rows_.size() > 1);
  for (size_t r = 0; r < rows_.size(); ++r) {
    for (size_t c = 0; c < columns; ++c) {
      widths[c] = std::max(widths[c], rows_[r][c].size());
      numeric[c] = numeric[c] && (r == 0 || IsNumber(rows_[r][c]));
    }
  }
  std::string text;
  for (const std::vector<std::string>& row : rows_) {
    std::string line;
    for (size_t c = 0; c < columns; ++c) {
      std::string padding(widths[c] - row[c].size(), ' ');
      line += numeric[c] ? padding + row[c] : row[c] + padding;
      line.append(kColumnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

void Table::Print() const {
  std::fputs(ToString().c_str(), stdout);
}

void PrintJson(const boost::json::value& value) {
  std::printf("%s\n", boost::json::serialize(value).c_str());
}

void PrintError(std::string_view command, std::string_view message) {
  std::string name(command);
  for (const std::string& line :
       std::vector<std::string>(absl::StrSplit(std::string(message), '\n'))) {
    std::fprintf(stderr, "hawthornhollow %s: %s\n", name.c_str(), line.c_str());
  }
}

int Fail(std::string_view command, const absl::Status& status) {
  PrintError(command, std::string(status.message()));
  switch (status.code()) {
    case absl::StatusCode::kUnavailable:
    case absl::StatusCode::kDeadlineExceeded:
    case absl::StatusCode::kAborted:
    case absl::StatusCode::kUnknown:
    case absl::StatusCode::kCancelled:
      return kExitUnknown;
    case absl::StatusCode::kInvalidArgument:
    case absl::StatusCode::kNotFound:
    case absl::StatusCode::kPermissionDenied:
      return kExitUsage;
    default:
      return kExitRefused;
  }
}

std::string FormatTimeMs(int64_t time_ms) {
  if (time_ms == 0)
    return "-";
  return absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", absl::FromUnixMillis(time_ms),
                          absl::UTCTimeZone());
}

}  // namespace hawthornhollow
