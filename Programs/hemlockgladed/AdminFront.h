#pragma once

#include "ConfigLink.h"
#include "OwnedCells.h"

namespace hemlockglade {

/// Callbacks through which AdminFront reaches its node.
struct AdminFrontHooks {
  /// Returns the live nodes, this one included.
  std::function<std::vector<NodeRecord>()> Nodes;
  /// Returns the lease record of each cell, as this node knows it.
  std::function<std::map<std::string, CellRecord>()> CellRecords;
  /// Returns the node that owns a cell; nothing if it is not known.
  std::function<std::optional<NodeRecord>(const std::string &cell)> OwnerOf;
  /// Calls the function once after the delay.
  std::function<void(Span, std::function<void()>)> After;
  /// Starts a graceful stop of this node.
  std::function<void()> StopSelf;
};

/// Serves the HTTP endpoints for operators: statements, apply, diff and export.
/// Any node accepts any statement; it collects rows from the other nodes, or
/// forwards the statement to the node concerned, through their AdminFronts.
class AdminFront {
public:
  /// `self` is this node's name.
  AdminFront(std::string self, HttpClient &client, ConfigLink &config,
             OwnedCells &cells, AdminFrontHooks hooks);

  /// Handles a request for an operator's path; returns false, without an
  /// answer, for any other path.
  bool handle(HttpIncoming &incoming, const std::shared_ptr<HttpReply> &reply);

private:
  using ReplyPtr = std::shared_ptr<HttpReply>;

  void onStatement(const HttpIncoming &incoming, const ReplyPtr &reply);
  void onApply(const HttpIncoming &incoming, const ReplyPtr &reply);
  void onDiff(const HttpIncoming &incoming, HttpReply &reply);
  void onExport(HttpReply &reply);

  void execute(const statement::Show &show, const StatementRequest &request,
               bool forwarded, const ReplyPtr &reply);
  void execute(const statement::Load &load, const StatementRequest &request,
               bool forwarded, const ReplyPtr &reply);
  void execute(const statement::Stop &stop, const StatementRequest &request,
               bool forwarded, const ReplyPtr &reply);
  void execute(const statement::Pin &pin, const StatementRequest &request,
               bool forwarded, const ReplyPtr &reply);
  void execute(const statement::Unpin &unpin, const StatementRequest &request,
               bool forwarded, const ReplyPtr &reply);
  void execute(const statement::Drain &drain, const StatementRequest &request,
               bool forwarded, const ReplyPtr &reply);
  void execute(const statement::Undrain &undrain,
               const StatementRequest &request, bool forwarded,
               const ReplyPtr &reply);

  /// Returns the rows that this node has of the subject.
  RowSet localRows(ShowSubject subject) const;
  void addCells(RowSet &rows) const;
  /// Answers with the rows of all live nodes. Nodes that don't answer are
  /// listed in the field X-Missing-Nodes.
  void gatherRows(const statement::Show &show, const StatementRequest &request,
                  const ReplyPtr &reply);
  /// Builds the request that forwards a statement to a node.
  HttpRequest nodeRequest(const NodeRecord &node,
                          const StatementRequest &request) const;
  /// Sends the statement to a node and passes its answer on.
  void forward(const NodeRecord &node, const StatementRequest &request,
               const ReplyPtr &reply);
  /// Computes the changes of a statement from the configuration in force, or
  /// the reason why it can't be applied.
  using Edit =
      std::function<tl::expected<std::vector<ConfigChange>, std::string>(
          const CatalogView &)>;
  /// Proposes the changes of `edit`. After a conflict with another command it
  /// computes them again from the newer configuration, for up to
  /// `attemptsLeft` proposals in all.
  void proposeEdit(Edit edit, const StatementRequest &request, int attemptsLeft,
                   const ReplyPtr &reply);
  void proposeChanges(ConfigProposal proposal, std::vector<std::string> changes,
                      const ReplyPtr &reply);

  std::string Self;
  HttpClient &Client;
  ConfigLink &Config;
  OwnedCells &Cells;
  AdminFrontHooks Hooks;
};

} // namespace hemlockglade
