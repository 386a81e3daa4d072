#include "Hemlockglade/Coordination/Lease/OwnLease.h"

#include "Hemlockglade/Coordination/Lease/LeaseRows.h"

namespace hemlockglade {

OwnLease::OwnLease(const LeaseSettings &settings, NodeRecord self)
    : Settings(settings), Self(std::move(self)), Process(Self.Incarnation) {
  nextIncarnation();
}

std::string OwnLease::nextAttempt() {
  return Self.Name + '/' + Process + '/' + std::to_string(++Attempts);
}

TableTransaction OwnLease::renewal(Instant now) {
  TableTransaction out;
  out.AttemptId = nextAttempt();
  Pending[out.AttemptId] = {now, *Version};
  out.Writes.push_back({lease_rows::nodeKey(Self.Name), *Version,
                        lease_rows::write(Self, out.AttemptId)});
  return out;
}

TableTransaction OwnLease::ending() {
  TableTransaction out;
  out.AttemptId = nextAttempt();
  auto record = Self;
  record.Over = true;
  out.Writes.push_back({lease_rows::nodeKey(Self.Name), Version.value_or(0),
                        lease_rows::write(record, out.AttemptId)});
  return out;
}

void OwnLease::confirm(const std::string &attempt) {
  auto it = Pending.find(attempt);
  // Renewals of a lost incarnation are gone from the map.
  if (it == Pending.end())
    return;
  Established = true;
  Version = std::max(Version.value_or(0), it->second.ExpectedVersion + 1);
  ConfirmedAt = std::max(ConfirmedAt, it->second.At);
  End = std::max(End, ConfirmedAt + Settings.Duration - Settings.Margin);
  std::erase_if(Pending, [&](const auto &other) {
    return other.second.ExpectedVersion < *Version;
  });
}

bool OwnLease::take(const std::optional<TableRow> &row) {
  auto written = row ? lease_rows::readNode(row->Value) : std::nullopt;
  std::uint64_t version = row ? row->Version : 0;
  bool ours = written && written->Value.Incarnation == Self.Incarnation;
  if (ours && !written->Value.Over) {
    confirm(written->Attempt);
    Version = std::max(Version.value_or(0), version);
    Established = true;
    return false;
  }
  bool lost = Established || ours;
  if (Established && written && !ofThisProcess(written->Value.Incarnation))
    Superseded = true;
  if (lost)
    nextIncarnation();
  Version = version;
  return lost;
}

bool OwnLease::expire(Instant now) {
  if (!Established || now < End + Settings.RowKeep / 2)
    return false;
  nextIncarnation();
  return true;
}

std::optional<NodeRow> OwnLease::sight() const {
  if (!Established || !Version)
    return std::nullopt;
  return NodeRow{Self, *Version};
}

bool OwnLease::ofThisProcess(const std::string &incarnation) const {
  return incarnation.starts_with(Process + '.');
}

void OwnLease::nextIncarnation() {
  Self.Incarnation = Process + '.' + std::to_string(++Generation);
  Version.reset();
  Pending.clear();
  End = {};
  ConfirmedAt = {};
  Established = false;
}

} // namespace hemlockglade
