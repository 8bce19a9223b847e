#ifndef HAWTHORNHOLLOW_CLI_OUTPUT_H_
#define HAWTHORNHOLLOW_CLI_OUTPUT_H_

// Tables, JSON and errors on the terminal. Internal to the cli library.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "boost/json/value.hpp"

namespace hawthornhollow {

// Text in aligned columns; columns of numbers are aligned to the right.
class Table {
 public:
  explicit Table(std::vector<std::string> headers);
  // `cells` has one cell per header.
  void AddRow(std::vector<std::string> cells);
  // One line per row, after the headers.
  std::string ToString() const;
  void Print() const;

 private:
  std::vector<std::vector<std::string>> rows_;  // the first holds the headers
};

// One line of JSON on standard output.
void PrintJson(const boost::json::value& value);

// Prints "hawthornhollow COMMAND: MESSAGE" to standard error, a line for each
// line of the message.
void PrintError(std::string_view command, std::string_view message);

// As above; returns the exit status that fits the status's code.
int Fail(std::string_view command, const absl::Status& status);

// "2026-05-04T10:20:30Z"; "-" for 0.
std::string FormatTimeMs(int64_t time_ms);

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_CLI_OUTPUT_H_
