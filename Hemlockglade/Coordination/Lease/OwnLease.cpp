#include "Hemlockglade/Coordination/Lease/OwnLease.h"

#include "Hemlockglade/Coordination/Lease/LeaseRows.h"

namespace hemlockglade {

OwnLease::OwnLease(const LeaseSettings &settings, NodeRecord self)
    : Settings(settings), Self(std::move(self)),
      ProcessIncarnation(Self.Incarnation) {
  startNextIncarnation();
}

std::string OwnLease::nextAttemptId() {
  return Self.Name + '/' + ProcessIncarnation + '/' +
         std::to_string(++AttemptCount);
}

TableTransaction OwnLease::makeRenewal(Instant now) {
  TableTransaction out;
  out.AttemptId = nextAttemptId();
  PendingRenewals[out.AttemptId] = {now, *Version};
  out.Writes.push_back({lease_rows::nodeKey(Self.Name), *Version,
                        lease_rows::write(Self, out.AttemptId)});
  return out;
}

TableTransaction OwnLease::makeEnding() {
  TableTransaction out;
  out.AttemptId = nextAttemptId();
  auto record = Self;
  record.Ended = true;
  out.Writes.push_back({lease_rows::nodeKey(Self.Name), Version.value_or(0),
                        lease_rows::write(record, out.AttemptId)});
  return out;
}

void OwnLease::confirmRenewal(const std::string &attempt) {
  auto it = PendingRenewals.find(attempt);
  // Renewals of an earlier incarnation were removed from the map.
  if (it == PendingRenewals.end())
    return;
  RowWritten = true;
  Version = std::max(Version.value_or(0), it->second.ExpectedVersion + 1);
  ConfirmedAt = std::max(ConfirmedAt, it->second.SentAt);
  ValidUntil =
      std::max(ValidUntil, ConfirmedAt + Settings.Duration - Settings.Margin);
  std::erase_if(PendingRenewals, [&](const auto &other) {
    return other.second.ExpectedVersion < *Version;
  });
}

bool OwnLease::updateFromRow(const std::optional<TableRow> &row) {
  auto written = row ? lease_rows::parseNode(row->Value) : std::nullopt;
  std::uint64_t version = row ? row->Version : 0;
  bool own = written && written->Value.Incarnation == Self.Incarnation;
  if (own && !written->Value.Ended) {
    confirmRenewal(written->Attempt);
    Version = std::max(Version.value_or(0), version);
    RowWritten = true;
    return false;
  }
  bool lost = RowWritten || own;
  if (RowWritten && written && !isOfThisProcess(written->Value.Incarnation))
    Superseded = true;
  if (lost)
    startNextIncarnation();
  Version = version;
  return lost;
}

bool OwnLease::expireIncarnation(Instant now) {
  if (!RowWritten || now < ValidUntil + Settings.RowRetention / 2)
    return false;
  startNextIncarnation();
  return true;
}

std::optional<NodeRow> OwnLease::confirmedRow() const {
  if (!RowWritten || !Version)
    return std::nullopt;
  return NodeRow{Self, *Version};
}

bool OwnLease::isOfThisProcess(const std::string &incarnation) const {
  return incarnation.starts_with(ProcessIncarnation + '.');
}

void OwnLease::startNextIncarnation() {
  Self.Incarnation = ProcessIncarnation + '.' + std::to_string(++Generation);
  Version.reset();
  PendingRenewals.clear();
  ValidUntil = {};
  ConfirmedAt = {};
  RowWritten = false;
}

} // namespace hemlockglade
