#pragma once

#include "NodeCaller.h"

namespace hemlockglade {

/// Exit status of the tool.
enum class ExitCode : std::uint8_t {
  Done = 0,
  /// A node answered that it did not carry out the command.
  Refused = 1,
  /// Wrong usage, file or statement; nothing was sent.
  Usage = 2,
  /// No node gave a whole answer. The command may have been carried out;
  /// sending it again with the same command id is safe.
  NoAnswer = 3,
  /// Committed, but not in force on every live node within the wait time.
  NotInForce = 4,
  /// `diff` found differences.
  Differs = 5,
};

/// How commands are sent and their answers printed.
struct CommandSettings {
  /// Prints JSON as the node sent it instead of tables.
  bool Json = false;
  /// How long `apply` waits for the revision to be in force on every live node;
  /// it does not wait if zero.
  Span Wait{};
  /// Name of the operator.
  std::string Operator;
  /// Id of the command; if empty, each command gets a new one.
  std::string CommandId;
};

/// The commands of the tool, for the prompt and the command line. Answers go to
/// stdout, errors to stderr.
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

  /// Checks a file of declarations, sends it and prints the changes.
  tl::expected<ChangeAnswer, ExitCode>
  sendDeclarations(std::string_view path, const std::string &file);
  /// Waits until every live node has the revision in force.
  ExitCode waitInForce(Revision revision);
  /// Returns the rows of a statement that changes nothing, or the error.
  tl::expected<RowSet, AdminError> query(const std::string &text);
  /// Builds a request with the command id and the operator in its fields.
  HttpRequest newRequest(std::string_view method, std::string_view path);
  /// Sends a request and returns the body of the answer; prints the error if
  /// there is none or the node refused.
  tl::expected<std::string, ExitCode> send(const HttpRequest &request);

  CommandSettings Settings;
  NodeCaller Caller;
};

} // namespace hemlockglade
