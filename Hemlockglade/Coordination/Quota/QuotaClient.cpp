#include "Hemlockglade/Coordination/Quota/QuotaClient.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hemlockglade {

namespace {

/// A workspace that nobody asked for is forgotten after this.
constexpr Span ForgetAfter = std::chrono::seconds(30);
/// Share of what is asked for ahead below which more is asked for.
constexpr double RefillShare = 0.5;
/// Usual requests that are worth asking for ahead.
constexpr double LeastAhead = 2;

} // namespace

void QuotaClient::setCells(std::vector<std::string> cells,
                           const std::string &own) {
  Cells = std::move(cells);
  Own = own;
}

void QuotaClient::openPurses(const std::string &name, Book &book) const {
  auto keepers = quotaServersOf(name, book.Limit, Cells, Quota);
  if (keepers.empty())
    return;
  // The own cell's owner is near; behind it entries of different cells begin
  // with different keepers.
  auto own = std::find(keepers.begin(), keepers.end(), Own);
  if (own == keepers.end())
    own = keepers.begin() + static_cast<std::ptrdiff_t>(
                                std::hash<std::string>{}(Own) % keepers.size());
  std::rotate(keepers.begin(), own, keepers.end());
  std::vector<Purse> purses;
  for (const auto &cell : keepers) {
    auto kept =
        std::find_if(book.Purses.begin(), book.Purses.end(),
                     [&cell](const auto &it) { return it.Cell == cell; });
    purses.push_back(kept == book.Purses.end() ? Purse{} : std::move(*kept));
    purses.back().Cell = cell;
  }
  book.Purses = std::move(purses);
}

QuotaClient::Book &QuotaClient::bookOf(const Workspace &workspace,
                                       Instant now) {
  auto [it, isNew] = Books.try_emplace(workspace.Name);
  auto &book = it->second;
  book.Name = workspace.Name;
  book.UsedAt = now;
  if (!isNew && book.Limit == *workspace.Limit)
    return book;
  // Requests that wait at a keeper that is none any more are asked for there
  // still: nobody answers, and they move on.
  bool waits = std::any_of(
      book.Purses.begin(), book.Purses.end(), [](const auto &purse) {
        return !purse.Waits.empty() || !purse.Asked.empty();
      });
  if (waits)
    return book;
  book.Limit = *workspace.Limit;
  openPurses(workspace.Name, book);
  return book;
}

double QuotaClient::demandOf(const Book &book, Instant now) const {
  return book.Demand * std::exp(-inSeconds(now - book.DemandAt) /
                                inSeconds(Setup.DemandOver));
}

void QuotaClient::noteDemand(Book &book, double units, Instant now) const {
  book.Demand = demandOf(book, now) + units / inSeconds(Setup.DemandOver);
  book.DemandAt = now;
  constexpr double Weight = 0.1;
  book.UsualUnits +=
      (book.UsualUnits > 0 ? Weight : 1) * (units - book.UsualUnits);
}

void QuotaClient::markDue(Book &book) {
  if (!std::exchange(book.Due, true))
    DueBooks.push_back(&book);
}

double QuotaClient::Purse::granted() const {
  double out = 0;
  for (const auto &it : Grants)
    out += it.Units;
  return out;
}

void QuotaClient::lapse(Purse &purse, Instant now) {
  std::erase_if(purse.Grants, [&purse, now](const auto &it) {
    bool over = now >= it.Until;
    purse.Unused += over ? it.Units : 0;
    return over;
  });
}

bool QuotaClient::useGranted(Book &book, double units, Instant now) {
  for (auto &purse : book.Purses) {
    lapse(purse, now);
    if (purse.granted() < units)
      continue;
    for (auto &it : purse.Grants) {
      auto used = std::min(units, it.Units);
      it.Units -= used;
      units -= used;
    }
    std::erase_if(purse.Grants, [](const auto &it) { return it.Units <= 0; });
    return true;
  }
  return false;
}

std::optional<QuotaClient::Decision>
QuotaClient::reserve(Ticket number, const Workspace &workspace, double units,
                     Instant now) {
  auto &book = bookOf(workspace, now);
  noteDemand(book, units, now);
  if (!useGranted(book, units, now))
    return place(book, 0, {number, units}, now);
  markDue(book);
  return Decision{number, Verdict::Allowed, Span(0)};
}

std::optional<QuotaClient::Decision>
QuotaClient::place(Book &book, std::size_t first, Waiting it, Instant now) {
  for (auto at = first; at < book.Purses.size(); ++at) {
    auto &purse = book.Purses[at];
    if (now < purse.EmptyUntil || now < purse.SilentUntil)
      continue;
    purse.Waits.push_back(it);
    markDue(book);
    return std::nullopt;
  }
  return refuse(book, it, now);
}

QuotaClient::Decision QuotaClient::refuse(Book &book, const Waiting &it,
                                          Instant now) const {
  auto emptyUntil = Instant::max();
  for (const auto &purse : book.Purses)
    if (now < purse.EmptyUntil)
      emptyUntil = std::min(emptyUntil, purse.EmptyUntil);
  if (emptyUntil == Instant::max())
    return {it.Number, Verdict::NoServer, Setup.Silence};
  // Those who are refused together are told to come back one after the other,
  // as this entry's part of the limit lets them pass.
  auto perSecond = book.Limit.PerSecond / static_cast<double>(Entries);
  book.PromisedUntil = std::max({book.PromisedUntil, emptyUntil, now}) +
                       spanOf(it.Units / perSecond);
  if (book.PromisedUntil > now + Setup.LongestRetry)
    book.PromisedUntil = now + Setup.LongestRetry / 2;
  return {it.Number, Verdict::Limited, book.PromisedUntil - now};
}

void QuotaClient::charge(const Workspace &workspace, double units,
                         Instant now) {
  auto &book = bookOf(workspace, now);
  if (!useGranted(book, units, now) && !book.Purses.empty())
    book.Purses.front().Spent += units;
}

void QuotaClient::release(const Workspace &workspace, double units,
                          Instant now) {
  auto &book = bookOf(workspace, now);
  if (book.Purses.empty())
    return;
  auto &purse = book.Purses.front();
  // What was used without a grant is settled first.
  auto settled = std::min(units, purse.Spent);
  purse.Spent -= settled;
  purse.Unused += units - settled;
}

double QuotaClient::aheadOf(const Book &book, const Purse &purse,
                            Instant now) const {
  bool nearest = &purse == &book.Purses.front();
  if (!nearest || now < purse.EmptyUntil || now < purse.AheadAfter)
    return 0;
  auto wanted = demandOf(book, now) * inSeconds(Setup.AheadFor);
  // Less serves no whole request before it lapses.
  if (wanted < LeastAhead * book.UsualUnits)
    return 0;
  auto granted = purse.granted();
  return granted < RefillShare * wanted ? wanted - granted : 0;
}

void QuotaClient::addAsks(Book &book, std::map<std::string, Message> &messages,
                          Instant now) {
  for (auto &purse : book.Purses) {
    if (purse.Asking || now < purse.SilentUntil)
      continue;
    lapse(purse, now);
    auto ahead = aheadOf(book, purse, now);
    if (purse.Waits.empty() && ahead <= 0 && purse.Unused <= 0 &&
        purse.Spent <= 0)
      continue;
    auto &message = messages[purse.Cell];
    message.Cell = purse.Cell;
    if (!message.Number)
      message.Number = ++LastAsk;
    QuotaRequest ask{book.Name,
                     {},
                     ahead,
                     std::exchange(purse.Unused, 0),
                     std::exchange(purse.Spent, 0)};
    purse.Asked.clear();
    for (const auto &it : std::exchange(purse.Waits, {})) {
      ask.Requested.push_back(it.Units);
      purse.Asked.push_back(it);
    }
    purse.Asking = true;
    purse.AskedAt = now;
    purse.AskNumber = message.Number;
    purse.AskedAhead = ahead > 0;
    message.Requests.push_back(std::move(ask));
  }
}

std::vector<QuotaClient::Message> QuotaClient::takeRequests(Instant now) {
  std::map<std::string, Message> messages;
  for (auto *book : std::exchange(DueBooks, {})) {
    book->Due = false;
    addAsks(*book, messages, now);
  }
  std::vector<Message> out;
  out.reserve(messages.size());
  for (auto &[cell, message] : messages)
    out.push_back(std::move(message));
  return out;
}

void QuotaClient::takeGrant(Book &book, std::size_t index,
                            const QuotaGrant &grant, Instant now,
                            std::vector<Decision> &out) {
  auto &purse = book.Purses[index];
  purse.Asking = false;
  // One that answers is not silent, however late.
  purse.SilentUntil = Instant{};
  auto asked = std::exchange(purse.Asked, {});
  bool late = now > purse.AskedAt + Setup.GrantLife;
  if (!grant.Managed)
    purse.SilentUntil = now + Setup.Silence;
  else if (grant.EmptyFor > Span(0))
    purse.EmptyUntil = now + grant.EmptyFor;
  if (std::exchange(purse.AskedAhead, false) && grant.Ahead <= 0)
    purse.AheadAfter = now + Setup.AheadPause;
  markDue(book);
  if (late) {
    purse.Unused += grant.Ahead;
  } else if (grant.Ahead > 0) {
    purse.Grants.push_back({grant.Ahead, purse.AskedAt + Setup.GrantLife});
  }
  for (std::size_t it = 0; it < asked.size(); ++it) {
    const auto &request = asked[it];
    bool passed = it < grant.GrantedCount;
    if (request.Over) {
      purse.Unused += passed ? request.Units : 0;
      continue;
    }
    if (passed) {
      out.push_back({request.Number, Verdict::Allowed, Span(0)});
      continue;
    }
    if (auto decision = place(book, index + 1, request, now))
      out.push_back(*decision);
  }
}

std::vector<QuotaClient::Decision>
QuotaClient::onGrants(const std::string &cell, std::uint64_t number,
                      std::span<const QuotaGrant> grants, Instant now) {
  std::vector<Decision> out;
  for (const auto &grant : grants) {
    auto it = Books.find(grant.Workspace);
    if (it == Books.end())
      continue;
    auto &book = it->second;
    for (std::size_t at = 0; at < book.Purses.size(); ++at) {
      const auto &purse = book.Purses[at];
      if (purse.Cell == cell && purse.AskNumber == number &&
          (purse.Asking || !purse.Asked.empty()))
        takeGrant(book, at, grant, now, out);
    }
  }
  return out;
}

void QuotaClient::moveOn(Book &book, std::size_t purse, Instant now,
                         std::vector<Decision> &out) {
  markDue(book);
  auto &from = book.Purses[purse];
  from.SilentUntil = now + Setup.Silence;
  from.Asking = false;
  auto waits = std::exchange(from.Waits, {});
  for (auto &it : from.Asked)
    if (!std::exchange(it.Over, true))
      waits.push_back({it.Number, it.Units});
  for (const auto &it : waits)
    if (auto decision = place(book, purse + 1, it, now))
      out.push_back(*decision);
}

std::vector<QuotaClient::Decision>
QuotaClient::onServerLost(const std::string &cell, Instant now) {
  std::vector<Decision> out;
  for (auto &[name, book] : Books)
    for (std::size_t at = 0; at < book.Purses.size(); ++at)
      if (book.Purses[at].Cell == cell) {
        moveOn(book, at, now, out);
        // No answer comes any more.
        book.Purses[at].Asked.clear();
      }
  return out;
}

std::vector<QuotaClient::Decision> QuotaClient::tick(Instant now) {
  std::vector<Decision> out;
  for (auto &[name, book] : Books)
    for (std::size_t at = 0; at < book.Purses.size(); ++at) {
      auto &purse = book.Purses[at];
      lapse(purse, now);
      if (purse.Asking && now > purse.AskedAt + Setup.Patience)
        moveOn(book, at, now, out);
      if (!purse.Asking && now > purse.AskedAt + Setup.GrantLife)
        purse.Asked.clear();
      if (!purse.Asking && (purse.Unused > 0 || purse.Spent > 0))
        markDue(book);
    }
  std::erase_if(Books, [now](const auto &it) {
    return !it.second.Due && now - it.second.UsedAt > ForgetAfter;
  });
  return out;
}

} // namespace hemlockglade
