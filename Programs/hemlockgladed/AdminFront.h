#pragma once

#include "ConfigLink.h"
#include "OwnedCells.h"

namespace hemlockglade {

/// What the front for operators needs of its node.
struct AdminFrontHooks {
  /// Nodes that live, this one included.
  std::function<std::vector<NodeRecord>()> Nodes;
  /// Who owns which cell, as this node sees it.
  std::function<std::map<std::string, CellRecord>()> CellRecords;
  /// The node that owns a cell.
  std::function<std::optional<NodeRecord>(const std::string &cell)> OwnerOf;
  std::function<void(Span, std::function<void()>)> After;
  /// Begins a graceful stop of this node.
  std::function<void()> StopSelf;
};

/// Serves the operators: statements, declarations, differences, export. A
/// statement reaches any node; it asks or orders the others over their own
/// fronts.
class AdminFront {
public:
  /// `self` is this node's name.
  AdminFront(std::string self, HttpClient &client, ConfigLink &config,
             OwnedCells &cells, AdminFrontHooks hooks);

  /// Takes a request if it is an operator's; false if the path is none of
  /// ours.
  bool take(HttpIncoming &incoming, const std::shared_ptr<HttpReply> &reply);

private:
  using ReplyPtr = std::shared_ptr<HttpReply>;

  void onStatement(const HttpIncoming &incoming, const ReplyPtr &reply);
  void onApply(const HttpIncoming &incoming, const ReplyPtr &reply);
  void onDiff(const HttpIncoming &incoming, HttpReply &reply);
  void onExport(HttpReply &reply);

  void run(const statement::Show &show, const StatementRequest &request,
           bool forwarded, const ReplyPtr &reply);
  void run(const statement::Load &load, const StatementRequest &request,
           bool forwarded, const ReplyPtr &reply);
  void run(const statement::Stop &stop, const StatementRequest &request,
           bool forwarded, const ReplyPtr &reply);
  void run(const statement::Pin &pin, const StatementRequest &request,
           bool forwarded, const ReplyPtr &reply);
  void run(const statement::Unpin &unpin, const StatementRequest &request,
           bool forwarded, const ReplyPtr &reply);
  void run(const statement::Drain &drain, const StatementRequest &request,
           bool forwarded, const ReplyPtr &reply);
  void run(const statement::Undrain &undrain, const StatementRequest &request,
           bool forwarded, const ReplyPtr &reply);

  RowSet localRows(ShowSubject subject) const;
  void addCells(RowSet &rows) const;
  void gather(const statement::Show &show, const StatementRequest &request,
              const ReplyPtr &reply);
  HttpRequest toNode(const NodeRecord &node,
                     const StatementRequest &request) const;
  void forward(const NodeRecord &node, const StatementRequest &request,
               const ReplyPtr &reply);
  /// Commits changes that are worked out from the configuration in force; a
  /// commit of another in between is worked in, a few times.
  using Edit =
      std::function<tl::expected<std::vector<ConfigChange>, std::string>(
          const CatalogView &)>;
  void change(Edit edit, const StatementRequest &request, int tries,
              const ReplyPtr &reply);
  void propose(ConfigProposal proposal, std::vector<std::string> changes,
               const ReplyPtr &reply);

  std::string Self;
  HttpClient &Client;
  ConfigLink &Config;
  OwnedCells &Cells;
  AdminFrontHooks Hooks;
};

} // namespace hemlockglade
