#pragma once

#include "NodeCaller.h"

namespace hemlockglade {

/// Exit status of the tool.
enum class ExitCode : std::uint8_t {
  Done = 0,
  /// A node answered that it did not do it.
  Refused = 1,
  /// Wrong usage, file or statement; nothing was sent.
  Usage = 2,
  /// No node gave a whole answer; the command may have been carried out, and
  /// a repeat with the same command id is safe.
  NoAnswer = 3,
  /// Committed, but not in force on every live node within the wait.
  NotInForce = 4,
  /// `diff` found differences.
  Differs = 5,
};

/// How commands are sent and their answers printed.
struct CommandSettings {
  /// JSON as the node sent it in place of tables.
  bool Json = false;
  /// How long `apply` waits for the revision to be in force everywhere; zero
  /// for not at all.
  Span Wait{};
  /// Name of the operator.
  std::string Operator;
  /// Id of the command; empty for a new one each time.
  std::string CommandId;
};

/// The tool's commands; the prompt and the command line share them. Answers go
/// to stdout, faults to stderr.
class Commands {
public:
  Commands(CommandSettings settings, NodeCaller caller);

  /// Runs `apply FILE`, `diff FILE`, `check FILE`, `export`, or a statement.
  ExitCode run(const std::vector<std::string> &words);
  /// Runs one statement.
  ExitCode statement(const std::string &text);

private:
  ExitCode apply(const std::string &file);
  ExitCode diff(const std::string &file);
  ExitCode check(const std::string &file);
  ExitCode exportDeclarations();

  /// Posts a checked file and prints what it changes.
  tl::expected<ChangeAnswer, ExitCode>
  sendDeclarations(std::string_view path, const std::string &file);
  /// Waits until every live node has the revision in force.
  ExitCode waitForce(Revision revision);
  /// Rows of a query; nothing if no node gave them.
  tl::expected<RowSet, AdminError> query(const std::string &text);
  HttpRequest newRequest(std::string_view method, std::string_view path);
  /// Sends a request and tells the operator if nothing usable came back.
  tl::expected<std::string, ExitCode> send(const HttpRequest &request);

  CommandSettings Settings;
  NodeCaller Caller;
};

} // namespace hemlockglade
