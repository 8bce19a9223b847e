#include <cstdio>
#include <fstream>
#include <iostream>

#include "boost/json/array.hpp"
#include "boost/json/object.hpp"
#include "hawthornhollow/cli/cli.h"
#include "hawthornhollow/cli/commands.h"
#include "hawthornhollow/cli/options.h"
#include "hawthornhollow/cli/output.h"
#include "hawthornhollow/explain/explain.h"

namespace hawthornhollow {
namespace {

constexpr char kName[] = "explain";

void AddLines(std::istream& input, RequestStory* story) {
  std::string line;
  while (std::getline(input, line))
    story->Add(line);
}

// False, with an error printed, if the file cannot be read.
bool AddFile(const std::string& path, RequestStory* story) {
  if (path == "-") {
    AddLines(std::cin, story);
    return true;
  }
  std::ifstream input(path);
  if (!input) {
    PrintError(kName, path + ": cannot be opened");
    return false;
  }
  AddLines(input, story);
  return true;
}

boost::json::object StoryJson(const RequestStory& story) {
  boost::json::array lines;
  for (const LogLine& line : story.Lines())
    lines.emplace_back(line.text());
  return {{"summary", story.Summary()}, {"lines", lines}};
}

}  // namespace

int RunExplainCommand(const Arguments& arguments) {
  bool json = false;
  constexpr size_t kManyFiles = 10'000;
  OptionParser options(
      {.name = kName,
       .arguments = "REQUEST FILE...",
       .description =
           "Gathers what the logs of all routers say of one request, in the "
           "order of time,\nand says in one line what became of it. FILE may "
           "be - for standard input. Exit\nstatus 1 if no line names the "
           "request.\n",
       .example = "  $ hawthornhollow explain 82339447f3a0fc2d router-*.log\n"
                  "  time=... event=request.end request=82339447f3a0fc2d ...\n"
                  "  request 82339447f3a0fc2d was refused: ...\n",
       .min_positionals = 2,
       .max_positionals = kManyFiles});
  options.AddFlag("json", "print {\"summary\":...,\"lines\":[...]}", &json);
  if (std::optional<int> exit = options.Parse(arguments))
    return *exit;
  RequestStory story(options.positionals()[0]);
  for (size_t i = 1; i < options.positionals().size(); ++i) {
    if (!AddFile(options.positionals()[i], &story))
      return kExitUsage;
  }
  if (!story.found()) {
    PrintError(kName, "no line names request " + options.positionals()[0]);
    return kExitRefused;
  }
  if (json) {
    PrintJson(StoryJson(story));
    return kExitOk;
  }
  for (const LogLine& line : story.Lines())
    std::printf("%s\n", line.text().c_str());
  std::printf("%s\n", story.Summary().c_str());
  return kExitOk;
}

}  // namespace hawthornhollow
