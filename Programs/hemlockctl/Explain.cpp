#include "Explain.h"

#include "Hemlockglade/Protocol/Account/LogAccount.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <iostream>

namespace hemlockglade {

namespace {

using OnLine = std::function<void(const LogLine &line, const std::string &raw)>;

/// Calls `onLine` for every log line of the files. Returns the number of other
/// lines, or nothing if a file can't be read.
std::optional<std::size_t> readLogs(const std::vector<std::string> &files,
                                    const OnLine &onLine) {
  std::size_t others = 0;
  for (const auto &name : files) {
    std::ifstream file;
    if (name != "-")
      file.open(name);
    std::istream &in = name == "-" ? std::cin : file;
    if (!in) {
      std::cerr << "hemlockctl: can't read " << name << '\n';
      return std::nullopt;
    }
    for (std::string raw; std::getline(in, raw);) {
      auto line = readLogLine(raw);
      if (line)
        onLine(*line, raw);
      else
        ++others;
    }
  }
  return others;
}

ExitCode failWithoutLines() {
  std::cerr << "hemlockctl: no line of a node's log in these files\n";
  return ExitCode::Usage;
}

void printOthers(std::size_t others) {
  if (others > 0)
    std::cerr << "hemlockctl: " << others << " lines were no log lines\n";
}

ExitCode explainAll(const ExplainSettings &settings) {
  LogAccount account({});
  auto others =
      readLogs(settings.Files, [&](const LogLine &line, const std::string &) {
        account.add(line);
      });
  if (!others)
    return ExitCode::Usage;
  if (account.lines() == 0)
    return failWithoutLines();
  printOthers(*others);
  account.print(std::cout);
  return ExitCode::Done;
}

/// Prints the lines of one request and the orders for its weights, by time.
ExitCode explainOne(const ExplainSettings &settings) {
  std::vector<std::pair<LogLine, std::string>> own;
  std::vector<std::pair<LogLine, std::string>> orders;
  auto others = readLogs(settings.Files,
                         [&](const LogLine &line, const std::string &raw) {
                           if (line.text("request") == settings.Request)
                             own.emplace_back(line, raw);
                           else if (line.Event == "order")
                             orders.emplace_back(line, raw);
                         });
  if (!others)
    return ExitCode::Usage;
  printOthers(*others);
  if (own.empty()) {
    std::cerr << "hemlockctl: no line about request " << settings.Request
              << '\n';
    return ExitCode::Refused;
  }
  std::string weights;
  for (const auto &[line, raw] : own)
    if (auto wanted = line.text("weights"); !wanted.empty())
      weights = wanted;
  for (auto &it : orders)
    if (!weights.empty() && it.first.text("weights") == weights)
      own.push_back(std::move(it));
  std::stable_sort(own.begin(), own.end(), [](const auto &a, const auto &b) {
    return a.first.AtSeconds < b.first.AtSeconds;
  });
  for (const auto &[line, raw] : own)
    std::cout << raw << '\n';
  return ExitCode::Done;
}

} // namespace

ExitCode explain(const ExplainSettings &settings) {
  return settings.Request.empty() ? explainAll(settings) : explainOne(settings);
}

} // namespace hemlockglade
