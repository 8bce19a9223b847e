#ifndef HAWTHORNHOLLOW_CLI_OPTIONS_H_
#define HAWTHORNHOLLOW_CLI_OPTIONS_H_

// One command's options, over popt, and its help text. Internal to the cli
// library.
//
//   OptionParser options({.name = "budget", .arguments = "[NAME]", ...});
//   options.AddFlag("json", "print JSON", &json);
//   if (std::optional<int> exit = options.Parse(arguments))
//     return *exit;

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "hawthornhollow/cli/commands.h"

namespace hawthornhollow {

// What `--help` prints besides the options.
struct CommandHelp {
  std::string name;
  std::string arguments = "";  // positional, e.g. "FOLDER" or "[NAME]"
  std::string description;     // whole lines
  std::string example;         // whole lines, each a command or its output
  size_t min_positionals = 0;
  size_t max_positionals = 0;
};

class OptionParser {
 public:
  explicit OptionParser(CommandHelp help);

  // `value` keeps its default if the option is absent, and must outlive Parse.
  void AddFlag(const std::string& name, const std::string& help, bool* value);
  void AddText(const std::string& name,
               const std::string& argument,
               const std::string& help,
               std::string* value);
  // May be given several times.
  void AddList(const std::string& name,
               const std::string& argument,
               const std::string& help,
               std::vector<std::string>* values);
  void AddInteger(const std::string& name,
                  int64_t min,
                  int64_t max,
                  const std::string& help,
                  int64_t* value);

  // Returns the exit status if the command ends here: after --help, or after an
  // error, which has been printed.
  std::optional<int> Parse(const Arguments& arguments);

  const std::vector<std::string>& positionals() const { return positionals_; }

  // Prints "hawthornhollow NAME: MESSAGE" and returns kExitUsage.
  int UsageError(const std::string& message) const;

 private:
  struct Option {
    std::string name;
    std::string argument;  // empty for a flag
    std::string help;
    // Takes the argument's text; returns an error or "".
    std::function<std::string(const std::string&)> take;
  };

  void PrintHelp() const;
  std::string CheckPositionals() const;

  CommandHelp help_;
  std::vector<Option> options_;
  std::vector<std::string> positionals_;
};

}  // namespace hawthornhollow

#endif  // HAWTHORNHOLLOW_CLI_OPTIONS_H_
