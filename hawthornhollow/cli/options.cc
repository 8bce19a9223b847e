#include "hawthornhollow/cli/options.h"

#include <popt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "hawthornhollow/cli/cli.h"

namespace hawthornhollow {
namespace {

constexpr char kHelpOption[] = "help";

struct ContextDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using Context =
    std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

// The argument of the option that popt has just returned.
std::string TakeArgument(poptContext context) {
  char* text = poptGetOptArg(context);
  std::string argument = text == nullptr ? "" : text;
  std::free(text);  // NOLINT(cppcoreguidelines-no-malloc): popt's own.
  return argument;
}

}  // namespace

OptionParser::OptionParser(CommandHelp help) : help_(std::move(help)) {}

void OptionParser::AddFlag(const std::string& name,
                           const std::string& help,
                           bool* value) {
  options_.push_back({name, "", help, [value](const std::string&) {
                        *value = true;
                        return std::string();
                      }});
}

void OptionParser::AddText(const std::string& name,
                           const std::string& argument,
                           const std::string& help,
                           std::string* value) {
  options_.push_back({name, argument, help, [value](const std::string& text) {
                        *value = text;
                        return std::string(text.empty() ? "is empty" : "");
                      }});
}

void OptionParser::AddList(const std::string& name,
                           const std::string& argument,
                           const std::string& help,
                           std::vector<std::string>* values) {
  options_.push_back({name, argument, help, [values](const std::string& text) {
                        values->push_back(text);
                        return std::string(text.empty() ? "is empty" : "");
                      }});
}

void OptionParser::AddInteger(const std::string& name,
                              int64_t min,
                              int64_t max,
                              const std::string& help,
                              int64_t* value) {
  auto take = [=](const std::string& text) -> std::string {
    bool valid =
        absl::SimpleAtoi(text, value) && *value >= min && *value <= max;
    if (valid)
      return "";
    return absl::StrCat("must be a whole number from ", min, " to ", max,
                        " (found \"", text, "\")");
  };
  options_.push_back(
      {name, "N", absl::StrCat(help, " (default ", *value, ")"), take});
}

std::optional<int> OptionParser::Parse(const Arguments& arguments) {
  std::vector<poptOption> table;
  for (size_t i = 0; i < options_.size(); ++i) {
    int kind = options_[i].argument.empty() ? POPT_ARG_NONE : POPT_ARG_STRING;
    table.push_back({options_[i].name.c_str(), '\0',
                     static_cast<unsigned int>(kind), nullptr,
                     static_cast<int>(i + 1), nullptr, nullptr});
  }
  int help_value = static_cast<int>(options_.size()) + 1;
  table.push_back(
      {kHelpOption, 'h', POPT_ARG_NONE, nullptr, help_value, nullptr, nullptr});
  table.push_back(POPT_TABLEEND);
  std::vector<const char*> argv = {help_.name.c_str()};
  for (const std::string& argument : arguments)
    argv.push_back(argument.c_str());
  Context context(poptGetContext(nullptr, static_cast<int>(argv.size()),
                                 argv.data(), table.data(), 0));
  int next = 0;
  while ((next = poptGetNextOpt(context.get())) > 0) {
    if (next == help_value) {
      PrintHelp();
      return kExitOk;
    }
    const Option& option = options_[next - 1];
    std::string error = option.take(TakeArgument(context.get()));
    if (!error.empty())
      return UsageError(absl::StrCat("--", option.name, ": ", error));
  }
  if (next < -1) {
    return UsageError(
        absl::StrCat(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), ": ",
                     poptStrerror(next)));
  }
  const char** rest = poptGetArgs(context.get());
  while (rest != nullptr && *rest != nullptr)
    positionals_.emplace_back(*rest++);
  std::string error = CheckPositionals();
  if (!error.empty())
    return UsageError(error);
  return std::nullopt;
}

std::string OptionParser::CheckPositionals() const {
  if (positionals_.size() < help_.min_positionals)
    return absl::StrCat(help_.arguments, " is missing");
  if (positionals_.size() > help_.max_positionals) {
    return absl::StrCat("unexpected argument \"",
                        positionals_[help_.max_positionals], "\"");
  }
  return "";
}

int OptionParser::UsageError(const std::string& message) const {
  std::fprintf(stderr,
               "hawthornhollow %s: %s; see `hawthornhollow %s --help`\n",
               help_.name.c_str(), message.c_str(), help_.name.c_str());
  return kExitUsage;
}

void OptionParser::PrintHelp() const {
  std::printf("usage: hawthornhollow %s%s%s%s\n\n%s\noptions:\n",
              help_.name.c_str(), help_.arguments.empty() ? "" : " ",
              help_.arguments.c_str(), options_.empty() ? "" : " [OPTION...]",
              help_.description.c_str());
  auto left = [](const Option& option) {
    return absl::StrCat("--", option.name, option.argument.empty() ? "" : " ",
                        option.argument);
  };
  size_t width = 6;
  for (const Option& option : options_)
    width = std::max(width, left(option).size());
  for (const Option& option : options_) {
    std::printf("  %-*s  %s\n", static_cast<int>(width), left(option).c_str(),
                option.help.c_str());
  }
  std::printf("  %-*s  print this help\n\nexample:\n%s",
              static_cast<int>(width), "--help", help_.example.c_str());
}

}  // namespace hawthornhollow
