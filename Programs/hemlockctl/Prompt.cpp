#include "Prompt.h"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <readline/history.h>
#include <readline/readline.h>
#include <sstream>

namespace hemlockglade {

namespace {

constexpr const char *PromptText = "hemlock> ";
constexpr const char *HistoryName = "/.hemlockctl_history";
constexpr int HistoryLines = 1000;

std::string historyFile() {
  const char *home = std::getenv("HOME");
  return home ? std::string(home) + HistoryName : std::string();
}

std::optional<std::string> readLine() {
  std::unique_ptr<char, decltype(&std::free)> line(readline(PromptText),
                                                   &std::free);
  if (!line)
    return std::nullopt;
  return std::string(line.get());
}

/// Whether the word is a command of the tool instead of the start of a
/// statement.
bool isToolCommand(const std::string &word) {
  return word == "apply" || word == "diff" || word == "check" ||
         word == "export";
}

ExitCode runLine(Commands &commands, const std::string &line) {
  std::istringstream in(line);
  std::vector<std::string> words;
  for (std::string word; in >> word;)
    words.push_back(word);
  // A statement is passed as it was typed, so that the columns in its errors
  // are those of the line.
  if (isToolCommand(words.front()))
    return commands.run(words);
  return commands.statement(line);
}

} // namespace

ExitCode runPrompt(Commands &commands) {
  auto file = historyFile();
  using_history();
  stifle_history(HistoryLines);
  if (!file.empty())
    read_history(file.c_str());
  auto status = ExitCode::Done;
  while (auto line = readLine()) {
    if (line->find_first_not_of(" \t") == std::string::npos)
      continue;
    if (*line == "quit" || *line == "exit")
      break;
    add_history(line->c_str());
    status = runLine(commands, *line);
  }
  if (!file.empty())
    write_history(file.c_str());
  return status;
}

} // namespace hemlockglade
