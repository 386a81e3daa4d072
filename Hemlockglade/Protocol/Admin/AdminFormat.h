#pragma once

#include "Hemlockglade/Protocol/ProtocolError.h"
#include "Hemlockglade/Protocol/Statement/StatementRows.h"

#include <optional>

namespace hemlockglade {

/// Paths of the operators' interface on a node's caller port.
namespace admin_path {
/// POST a statement; answers with rows.
inline constexpr std::string_view Statement = "/admin/statement";
/// POST declarations; answers with the new revision.
inline constexpr std::string_view Apply = "/admin/apply";
/// GET the declarations in force, as YAML.
inline constexpr std::string_view Export = "/admin/export";
/// POST declarations; answers with what they would change.
inline constexpr std::string_view Diff = "/admin/diff";
} // namespace admin_path

namespace header {
/// Id of an operator's command: a repeat with the same id is the same command.
inline constexpr std::string_view CommandId = "X-Command-Id";
/// Name of the operator, for the log and for conflicts.
inline constexpr std::string_view Operator = "X-Operator";
} // namespace header

/// A statement on its way to a node.
struct StatementRequest {
  std::string Statement;
  std::string CommandId;
  std::string Operator;

  bool operator==(const StatementRequest &) const = default;
};

/// Why a node did not do what it was asked.
struct AdminError {
  /// Column of the statement, from 1; 0 if no column is to blame.
  std::size_t Column = 0;
  std::string Message;

  bool operator==(const AdminError &) const = default;
};

/// What an apply or a diff gives.
struct ChangeAnswer {
  /// The revision that was committed, or the one in force for a diff.
  Revision Number = 0;
  /// The differences, see `diffCatalogs`.
  std::vector<std::string> Changes;

  bool operator==(const ChangeAnswer &) const = default;
};

/// The state, in `show nodes`, of a node that serves.
inline constexpr std::string_view LiveState = "live";

/// The live nodes that don't have the revision in force yet, from the rows of
/// `show nodes`; nothing if the rows tell of no live node.
std::optional<std::vector<std::string>> nodesBehind(const RowSet &nodes,
                                                    Revision revision);

/// The operators' messages as JSON; both the node's and the tool's side.
namespace admin_format {

/// `{"statement","id","operator"}`
std::string statementBody(const StatementRequest &request);
tl::expected<StatementRequest, ProtocolError>
readStatementRequest(std::string_view body);

/// `{"columns":[...],"rows":[{column:value}]}`
std::string rowsBody(const RowSet &rows);
/// `{"error":{"column","message"}}`
std::string errorBody(const AdminError &error);
/// The error of a statement that does not parse.
std::string errorBody(const StatementError &error);
/// Reads either answer to a statement.
tl::expected<RowSet, AdminError> readRows(std::string_view body);

/// `{"revision","changes":[...]}`
std::string changeBody(const ChangeAnswer &answer);
/// Reads the answer to an apply or a diff.
tl::expected<ChangeAnswer, AdminError> readChange(std::string_view body);

/// The error that a body tells; what is no such body becomes the message.
AdminError readError(std::string_view body);

} // namespace admin_format

} // namespace hemlockglade
