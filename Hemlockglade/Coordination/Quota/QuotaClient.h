#pragma once

#include "Hemlockglade/Coordination/Quota/QuotaServer.h"

#include <deque>

namespace hemlockglade {

/// An entry's side of workspaces' limits: books each request before it may run,
/// from what keepers have granted this entry, or by asking them.
///
/// A request waits for a keeper only where nothing is left of what was granted
/// ahead, and is refused at once while all keepers are known to be empty. What
/// was booked and did not run goes back. No clock, no sockets: what is to be
/// sent is taken with `takeRequests`.
class QuotaClient {
public:
  struct Settings {
    /// Time of its present demand that the entry asks for ahead.
    Span AheadFor = std::chrono::milliseconds(200);
    /// How long a grant may be used after it was asked for, so that what a node
    /// uses that was cut off or stood still is bounded.
    Span GrantLife = std::chrono::milliseconds(500);
    /// How long a keeper may take for an answer, and how long it is left alone
    /// after it did not answer.
    Span Patience = std::chrono::milliseconds(100);
    Span Silence = std::chrono::milliseconds(500);
    /// Time for which nothing is asked for ahead of a keeper that refused it.
    Span AheadPause = std::chrono::milliseconds(100);
    /// Time over which the demand is averaged.
    Span DemandOver = std::chrono::milliseconds(400);
    /// Latest time at which a refused caller is told to come back.
    Span LongestRetry = std::chrono::seconds(4);
  };
  using Ticket = std::uint64_t;
  enum class Verdict : std::uint8_t {
    Allowed,
    /// The limit is used up.
    Limited,
    /// No keeper answers: whether the limit is used up is not known.
    NoServer,
  };
  struct Decision {
    Ticket Number = 0;
    Verdict Result = Verdict::Allowed;
    /// When to come back, unless it may go.
    Span RetryAfter{0};
  };
  /// Asks that go to one cell's owner in one message.
  struct Message {
    std::string Cell;
    std::uint64_t Number = 0;
    std::vector<QuotaRequest> Requests;
  };

  QuotaClient(Settings settings, QuotaSettings quota)
      : Setup(settings), Quota(quota) {}

  /// The cells of the deployment, the entry's own among them.
  void setCells(std::vector<std::string> cells, const std::string &own);
  /// Entries that share the limits, this one among them; for times to come
  /// back.
  void setEntries(std::size_t entries) { Entries = entries; }

  /// Books a request of so many units. Decided at once, or later by one of the
  /// functions below.
  std::optional<Decision> reserve(Ticket number, const Workspace &workspace,
                                  double units, Instant now);
  /// A request that ran before runs once more.
  void charge(const Workspace &workspace, double units, Instant now);
  /// Units that were booked for what did not run.
  void release(const Workspace &workspace, double units, Instant now);

  /// What is to be sent now.
  std::vector<Message> takeRequests(Instant now);
  std::vector<Decision> onGrants(const std::string &cell, std::uint64_t number,
                                 std::span<const QuotaGrant> grants,
                                 Instant now);
  /// The owner of a cell can't be reached.
  std::vector<Decision> onServerLost(const std::string &cell, Instant now);
  /// Does what is due; to be called about every 50 ms.
  std::vector<Decision> tick(Instant now);

  std::size_t accounts() const { return Books.size(); }

private:
  struct Waiting {
    Ticket Number = 0;
    double Units = 0;
    /// Decided while its answer was still to come.
    bool Over = false;
  };
  struct Grant {
    double Units = 0;
    Instant Until{};
  };
  /// What an entry has of one keeper.
  struct Purse {
    std::string Cell;
    /// What was granted ahead, each with its own end; the earliest first.
    std::vector<Grant> Grants;
    double Unused = 0;
    double Spent = 0;
    std::deque<Waiting> Waits;
    /// Those that were asked for, while an answer is awaited.
    std::vector<Waiting> Asked;
    std::uint64_t AskNumber = 0;
    bool Asking = false;
    bool AskedAhead = false;
    Instant AskedAt{};
    Instant EmptyUntil{};
    Instant SilentUntil{};
    /// Nothing is asked for ahead before, since the keeper has little left.
    Instant AheadAfter{};

    double granted() const;
  };
  struct Book {
    std::string Name;
    WorkspaceLimit Limit;
    /// The nearest keeper first.
    std::vector<Purse> Purses;
    /// Units a second that callers ask for, and of a usual request.
    double Demand = 0;
    double UsualUnits = 0;
    Instant DemandAt{};
    /// It may have something to send.
    bool Due = false;
    Instant UsedAt{};
    /// Until when callers who were refused have been told to come back.
    Instant PromisedUntil{};
  };

  Book &bookOf(const Workspace &workspace, Instant now);
  void openPurses(const std::string &name, Book &book) const;
  /// Units a second that callers ask for now.
  double demandOf(const Book &book, Instant now) const;
  /// Takes units from what was granted, if one keeper's grant has them all.
  static bool useGranted(Book &book, double units, Instant now);
  void noteDemand(Book &book, double units, Instant now) const;
  void markDue(Book &book);
  void addAsks(Book &book, std::map<std::string, Message> &messages,
               Instant now);
  /// Puts a request before the next keeper that may have something, from the
  /// given one on.
  std::optional<Decision> place(Book &book, std::size_t first, Waiting it,
                                Instant now);
  Decision refuse(Book &book, const Waiting &it, Instant now) const;
  /// Moves all that wait at a purse on to the next.
  void moveOn(Book &book, std::size_t purse, Instant now,
              std::vector<Decision> &out);
  /// Gives back what was granted too long ago.
  static void lapse(Purse &purse, Instant now);
  double aheadOf(const Book &book, const Purse &purse, Instant now) const;
  void takeGrant(Book &book, std::size_t index, const QuotaGrant &grant,
                 Instant now, std::vector<Decision> &out);

  const Settings Setup;
  const QuotaSettings Quota;
  std::vector<std::string> Cells;
  std::string Own;
  std::size_t Entries = 1;
  std::uint64_t LastAsk = 0;
  std::map<std::string, Book, std::less<>> Books;
  std::vector<Book *> DueBooks;
};

} // namespace hemlockglade
