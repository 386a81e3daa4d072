#include "AdminFront.h"

#include "Answers.h"

#include <easylogging++.h>

namespace hemlockglade {

namespace {

constexpr std::string_view ForwardedField = "X-Forwarded-By";
constexpr Span ForwardTimeout = std::chrono::seconds(3);
constexpr int MaxConflictAttempts = 5;
constexpr Span ConflictDelay = std::chrono::milliseconds(200);
constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int Unavailable = 503;

void sendBody(HttpReply &reply, int status, std::string body) {
  reply.sendWhole(status, {{"Content-Type", "application/json"}},
                  std::move(body) + '\n');
}

void sendError(HttpReply &reply, int status, std::string message) {
  sendBody(reply, status,
           admin_format::errorBody(AdminError{0, std::move(message)}));
}

/// Returns one row with the statement that was carried out.
RowSet doneRow(std::string what) { return {{"done"}, {{std::move(what)}}}; }

int statusOf(ConfigErrorKind kind) {
  return kind == ConfigErrorKind::Conflict ? Conflict : Unavailable;
}

std::string textOf(const ConfigError &error) {
  switch (error.Kind) {
  case ConfigErrorKind::Conflict: {
    std::string text = "nothing changed: another command came first";
    if (error.First)
      text += ": operator " + error.First->Operator + ", command " +
              error.First->CommandId + ", revision " +
              std::to_string(error.First->Number);
    return text;
  }
  case ConfigErrorKind::Unavailable:
    return "nothing changed: the table does not answer";
  case ConfigErrorKind::StoreBehind:
    return "nothing changed: the table is behind the revision in force";
  case ConfigErrorKind::Full:
    return "nothing changed: too many changes without a snapshot";
  case ConfigErrorKind::Unknown:
    break;
  }
  return "unknown whether it was accepted; repeat the same command";
}

/// Whether the rows of a subject come from the configuration alone, so that
/// no other node is needed.
bool isConfigured(ShowSubject subject) {
  return subject == ShowSubject::Adapters || subject == ShowSubject::Config ||
         subject == ShowSubject::Classes || subject == ShowSubject::Pins;
}

} // namespace

AdminFront::AdminFront(std::string self, HttpClient &client, ConfigLink &config,
                       OwnedCells &cells, AdminFrontHooks hooks)
    : Self(std::move(self)), Client(client), Config(config), Cells(cells),
      Hooks(std::move(hooks)) {}

bool AdminFront::handle(HttpIncoming &incoming, const ReplyPtr &reply) {
  const auto &path = incoming.Path;
  if (path == admin_path::Statement)
    onStatement(incoming, reply);
  else if (path == admin_path::Apply)
    onApply(incoming, reply);
  else if (path == admin_path::Diff)
    onDiff(incoming, *reply);
  else if (path == admin_path::Export)
    onExport(*reply);
  else
    return false;
  return true;
}

void AdminFront::onStatement(const HttpIncoming &incoming,
                             const ReplyPtr &reply) {
  auto request = admin_format::readStatementRequest(incoming.Body);
  if (!request)
    return sendError(*reply, BadRequest, request.error().Text);
  auto parsed = parseStatement(request->Statement);
  if (!parsed)
    return sendBody(*reply, BadRequest,
                    admin_format::errorBody(parsed.error()));
  bool forwarded = incoming.field(ForwardedField).has_value();
  if (!isQuery(*parsed))
    LOG(INFO) << "statement operator=" << request->Operator
              << " command=" << request->CommandId << " forwarded=" << forwarded
              << " text=\"" << request->Statement << '"';
  std::visit([&](const auto &it) { execute(it, *request, forwarded, reply); },
             *parsed);
}

void AdminFront::execute(const statement::Show &show,
                         const StatementRequest &request, bool forwarded,
                         const ReplyPtr &reply) {
  if (isConfigured(show.Subject)) {
    auto rows = catalogRows(show.Subject, Config.inForce()->catalog());
    return sendBody(*reply, Ok,
                    admin_format::rowsBody(selectRows(std::move(rows), show)));
  }
  if (forwarded)
    return sendBody(*reply, Ok,
                    admin_format::rowsBody(localRows(show.Subject)));
  gatherRows(show, request, reply);
}

RowSet AdminFront::localRows(ShowSubject subject) const {
  auto rows = rowsFor(subject);
  if (subject == ShowSubject::Nodes) {
    for (const auto &node : Hooks.Nodes()) {
      if (node.Name == Self)
        rows.Rows.push_back(
            {node.Name, node.CallerAddress, node.FailureDomain,
             std::string(node.Leaving ? "leaving" : "live"),
             static_cast<std::int64_t>(Config.inForce()->number())});
    }
    return rows;
  }
  if (subject == ShowSubject::Cells) {
    addCells(rows);
    return rows;
  }
  for (const auto &runner : Cells.all())
    runner->addRows(subject, Self, rows);
  return rows;
}

void AdminFront::addCells(RowSet &rows) const {
  for (const auto &[cell, record] : Hooks.CellRecords()) {
    if (record.Owner != Self)
      continue;
    constexpr std::string_view States[] = {"none", "recovering", "held",
                                           "doubtful"};
    auto mode = static_cast<std::size_t>(Cells.modeOf(cell));
    rows.Rows.push_back({cell, record.Owner,
                         static_cast<std::int64_t>(record.Fence),
                         std::string(States[mode])});
  }
}

void AdminFront::gatherRows(const statement::Show &show,
                            const StatementRequest &request,
                            const ReplyPtr &reply) {
  struct PendingRows {
    std::mutex Mutex;
    std::size_t Remaining = 1;
    RowSet Rows;
    std::string FailedNodes;
  };
  auto pending = std::make_shared<PendingRows>();
  pending->Rows = localRows(show.Subject);
  auto onRows = [pending, show, reply](const std::string &node,
                                       const std::string &body) {
    std::lock_guard lock(pending->Mutex);
    if (auto rows = admin_format::readRows(body))
      std::move(rows->Rows.begin(), rows->Rows.end(),
                std::back_inserter(pending->Rows.Rows));
    else if (!node.empty())
      pending->FailedNodes += (pending->FailedNodes.empty() ? "" : ",") + node;
    if (--pending->Remaining)
      return;
    HttpFields fields{{"Content-Type", "application/json"}};
    if (!pending->FailedNodes.empty())
      fields.emplace_back("X-Missing-Nodes", pending->FailedNodes);
    reply->sendWhole(Ok, fields,
                     admin_format::rowsBody(selectRows(pending->Rows, show)) +
                         '\n');
  };
  statement::Show unfiltered{show.Subject, {}, {}};
  StatementRequest nodeStatement = request;
  nodeStatement.Statement = statementText(unfiltered);
  for (const auto &node : Hooks.Nodes()) {
    if (node.Name == Self)
      continue;
    {
      std::lock_guard lock(pending->Mutex);
      ++pending->Remaining;
    }
    Client.fetch(nodeRequest(node, nodeStatement),
                 [onRows, name = node.Name](const HttpResult &result,
                                            const std::string &body) {
                   onRows(name, result.Whole ? body : std::string());
                 });
  }
  onRows("", "");
}

HttpRequest AdminFront::nodeRequest(const NodeRecord &node,
                                    const StatementRequest &request) const {
  HttpRequest out;
  out.Method = "POST";
  out.Url = "http://" + node.CallerAddress;
  out.Url += admin_path::Statement;
  out.Fields = {{std::string(ForwardedField), Self}};
  out.Body = admin_format::statementBody(request);
  out.Timeout = ForwardTimeout;
  return out;
}

void AdminFront::forward(const NodeRecord &node,
                         const StatementRequest &request,
                         const ReplyPtr &reply) {
  Client.fetch(
      nodeRequest(node, request),
      [reply, name = node.Name](const HttpResult &result, std::string body) {
        if (!result.Whole)
          return sendError(*reply, Unavailable,
                           "node " + name + " did not answer: " + result.Error);
        reply->sendWhole(result.Status, {{"Content-Type", "application/json"}},
                         std::move(body));
      });
}

void AdminFront::execute(const statement::Load &load,
                         const StatementRequest &request, bool forwarded,
                         const ReplyPtr &reply) {
  auto view = Config.inForce();
  auto replica = view->find<ReplicaConfig>(load.Replica);
  auto adapter = view->find<AdapterConfig>(load.Adapter.Name);
  if (!replica)
    return sendError(*reply, NotFound, "no replica " + load.Replica);
  if (!adapter || std::find(adapter->Versions.begin(), adapter->Versions.end(),
                            load.Adapter.Version) == adapter->Versions.end())
    return sendError(*reply, NotFound, "no adapter " + load.Adapter.text());
  auto service = view->find<ServiceConfig>(replica->Service);
  if (!service || adapter->Service != replica->Service)
    return sendError(*reply, BadRequest,
                     load.Adapter.text() + " is not of service " +
                         replica->Service);
  auto cell = cellOfReplica(*service, *replica);
  if (auto runner = Cells.find(cell)) {
    if (!runner->orderLoad(load.Adapter.text(), load.Replica))
      return sendError(*reply, NotFound, "no replica " + load.Replica);
    return sendBody(*reply, Ok,
                    admin_format::rowsBody(doneRow(request.Statement)));
  }
  auto owner = Hooks.OwnerOf(cell);
  if (!owner || forwarded)
    return sendError(*reply, Unavailable, "cell " + cell + " has no owner now");
  forward(*owner, request, reply);
}

void AdminFront::execute(const statement::Stop &stop,
                         const StatementRequest &request, bool forwarded,
                         const ReplyPtr &reply) {
  if (stop.Host == Self) {
    sendBody(*reply, Ok, admin_format::rowsBody(doneRow(request.Statement)));
    return Hooks.StopSelf();
  }
  for (const auto &node : Hooks.Nodes()) {
    if (node.Name == stop.Host && !forwarded)
      return forward(node, request, reply);
  }
  sendError(*reply, NotFound, "no live host " + stop.Host);
}

void AdminFront::execute(const statement::Pin &pin,
                         const StatementRequest &request, bool,
                         const ReplyPtr &reply) {
  auto edit = [pin](const CatalogView &view)
      -> tl::expected<std::vector<ConfigChange>, std::string> {
    if (!view.find<AdapterConfig>(pin.Adapter.Name))
      return tl::unexpected("no adapter " + pin.Adapter.text());
    PinConfig wanted{pin.Adapter, pin.FailureDomain, pin.Copies};
    return std::vector{ConfigChange{PinEntry{pinName(wanted), wanted}, false}};
  };
  proposeEdit(edit, request, MaxConflictAttempts, reply);
}

void AdminFront::execute(const statement::Unpin &unpin,
                         const StatementRequest &request, bool,
                         const ReplyPtr &reply) {
  auto edit = [unpin](const CatalogView &view)
      -> tl::expected<std::vector<ConfigChange>, std::string> {
    std::vector<ConfigChange> changes;
    view.all<PinEntry>().forEach([&](const PinEntry &it) {
      if (it.Pin.Adapter == unpin.Adapter &&
          it.Pin.FailureDomain == unpin.FailureDomain)
        changes.push_back({it, true});
    });
    if (changes.empty())
      return tl::unexpected("no such pin of " + unpin.Adapter.text());
    return changes;
  };
  proposeEdit(edit, request, MaxConflictAttempts, reply);
}

void AdminFront::execute(const statement::Drain &drain,
                         const StatementRequest &request, bool,
                         const ReplyPtr &reply) {
  auto edit = [drain](const CatalogView &view)
      -> tl::expected<std::vector<ConfigChange>, std::string> {
    if (!view.find<ReplicaConfig>(drain.Replica))
      return tl::unexpected("no replica " + drain.Replica);
    return std::vector{ConfigChange{DrainEntry{drain.Replica}, false}};
  };
  proposeEdit(edit, request, MaxConflictAttempts, reply);
}

void AdminFront::execute(const statement::Undrain &undrain,
                         const StatementRequest &request, bool,
                         const ReplyPtr &reply) {
  auto edit = [undrain](const CatalogView &view)
      -> tl::expected<std::vector<ConfigChange>, std::string> {
    if (!view.find<DrainEntry>(undrain.Replica))
      return tl::unexpected(undrain.Replica + " is not draining");
    return std::vector{ConfigChange{DrainEntry{undrain.Replica}, true}};
  };
  proposeEdit(edit, request, MaxConflictAttempts, reply);
}

void AdminFront::proposeEdit(Edit edit, const StatementRequest &request,
                             int attemptsLeft, const ReplyPtr &reply) {
  auto view = Config.inForce();
  auto changes = edit(*view);
  if (!changes)
    return sendError(*reply, NotFound, changes.error());
  ConfigProposal proposal{request.CommandId, request.Operator, view->number(),
                          std::move(*changes)};
  Config.propose(std::move(proposal), [this, edit = std::move(edit), request,
                                       attemptsLeft, reply](auto result) {
    if (result)
      return sendBody(*reply, Ok,
                      admin_format::rowsBody(
                          {{"done", "revision"},
                           {{request.Statement,
                             static_cast<std::int64_t>(result->Number)}}}));
    bool conflict = result.error().Kind == ConfigErrorKind::Conflict;
    if (conflict && attemptsLeft > 1) {
      Config.round();
      return Hooks.After(ConflictDelay,
                         [this, edit, request, attemptsLeft, reply] {
                           proposeEdit(edit, request, attemptsLeft - 1, reply);
                         });
    }
    sendError(*reply, statusOf(result.error().Kind), textOf(result.error()));
  });
}

void AdminFront::onApply(const HttpIncoming &incoming, const ReplyPtr &reply) {
  auto wanted = checkDeclarations(incoming.Body, "declarations");
  if (!wanted)
    return sendError(*reply, BadRequest, faultText(wanted.error()));
  auto command = incoming.field(header::CommandId).value_or("");
  if (command.empty())
    return sendError(*reply, BadRequest,
                     std::string(header::CommandId) + " is missing");
  auto view = Config.inForce();
  auto next = CatalogView::of(*wanted);
  ConfigProposal proposal{command,
                          incoming.field(header::Operator).value_or(""),
                          view->number(), view->changesTo(next)};
  auto lines = diffCatalogs(view->catalog(), *wanted);
  if (proposal.Changes.empty())
    return sendBody(*reply, Ok, admin_format::changeBody({view->number(), {}}));
  proposeChanges(std::move(proposal), std::move(lines), reply);
}

void AdminFront::proposeChanges(ConfigProposal proposal,
                                std::vector<std::string> changes,
                                const ReplyPtr &reply) {
  LOG(INFO) << "apply operator=" << proposal.Operator
            << " command=" << proposal.CommandId << " base=" << proposal.Base
            << " changes=" << proposal.Changes.size();
  Config.propose(std::move(proposal), [reply, changes = std::move(changes)](
                                          auto result) mutable {
    if (result)
      return sendBody(
          *reply, Ok,
          admin_format::changeBody({result->Number, std::move(changes)}));
    sendError(*reply, statusOf(result.error().Kind), textOf(result.error()));
  });
}

void AdminFront::onDiff(const HttpIncoming &incoming, HttpReply &reply) {
  auto wanted = checkDeclarations(incoming.Body, "declarations");
  if (!wanted)
    return sendError(reply, BadRequest, faultText(wanted.error()));
  auto view = Config.inForce();
  sendBody(reply, Ok,
           admin_format::changeBody(
               {view->number(), diffCatalogs(view->catalog(), *wanted)}));
}

void AdminFront::onExport(HttpReply &reply) {
  reply.sendWhole(Ok, {{"Content-Type", "application/yaml"}},
                  writeDeclarations(Config.inForce()->catalog()));
}

} // namespace hemlockglade
