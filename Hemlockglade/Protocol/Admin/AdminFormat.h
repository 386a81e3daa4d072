#pragma once

#include "Hemlockglade/Protocol/ProtocolError.h"
#include "Hemlockglade/Protocol/Statement/StatementRows.h"

#include <optional>

namespace hemlockglade {

/// Paths of the operators' interface, served on a node's caller port.
namespace admin_path {
/// POST a statement; the answer is rows.
inline constexpr std::string_view Statement = "/admin/statement";
/// POST declarations; the answer is the new revision and the changes.
inline constexpr std::string_view Apply = "/admin/apply";
/// GET the declarations in force, as YAML.
inline constexpr std::string_view Export = "/admin/export";
/// POST declarations; the answer is what they would change.
inline constexpr std::string_view Diff = "/admin/diff";
} // namespace admin_path

namespace header {
/// Id of an operator's command; a retry with the same id is the same command.
inline constexpr std::string_view CommandId = "X-Command-Id";
/// Name of the operator, for the log and for reports of conflicts.
inline constexpr std::string_view Operator = "X-Operator";
} // namespace header

/// A statement as it is sent to a node.
struct StatementRequest {
  std::string Statement;
  std::string CommandId;
  std::string Operator;

  bool operator==(const StatementRequest &) const = default;
};

/// Why a node did not execute a command.
struct AdminError {
  /// Column of the statement where the error is, starting at 1; 0 if the error
  /// is not at a column.
  std::size_t Column = 0;
  std::string Message;

  bool operator==(const AdminError &) const = default;
};

/// Answer to an apply or a diff.
struct ChangeAnswer {
  /// The committed revision; for a diff, the one in force.
  Revision Number = 0;
  /// The differences, see `diffCatalogs`.
  std::vector<std::string> Changes;

  bool operator==(const ChangeAnswer &) const = default;
};

/// State of a serving node in the rows of `show nodes`.
inline constexpr std::string_view LiveState = "live";

/// Returns the live nodes on which the revision is not in force yet, from the
/// rows of `show nodes`; nothing if the rows contain no live node.
std::optional<std::vector<std::string>> nodesBehind(const RowSet &nodes,
                                                    Revision revision);

/// Encodes and decodes the operators' messages as JSON, for nodes and for
/// `hemlockctl`.
namespace admin_format {

/// `{"statement","id","operator"}`
std::string statementBody(const StatementRequest &request);
tl::expected<StatementRequest, ProtocolError>
readStatementRequest(std::string_view body);

/// `{"columns":[...],"rows":[{column:value}]}`
std::string rowsBody(const RowSet &rows);
/// `{"error":{"column","message"}}`
std::string errorBody(const AdminError &error);
/// Error body for a statement that can't be parsed.
std::string errorBody(const StatementError &error);
/// Parses the answer to a statement: rows or an error.
tl::expected<RowSet, AdminError> readRows(std::string_view body);

/// `{"revision","changes":[...]}`
std::string changeBody(const ChangeAnswer &answer);
/// Parses the answer to an apply or a diff: changes or an error.
tl::expected<ChangeAnswer, AdminError> readChange(std::string_view body);

/// Parses an error body. If the body is not one, the error's message quotes it.
AdminError readError(std::string_view body);

} // namespace admin_format

} // namespace hemlockglade
