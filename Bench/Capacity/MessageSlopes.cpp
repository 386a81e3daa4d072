#include "Slope.h"
#include "Slopes.h"

#include "Hemlockglade/Coordination/Coordination.h"
#include "Hemlockglade/Protocol/Protocol.h"

namespace hemlockglade::bench {

namespace {

const std::vector<std::size_t> Counts{1000, 10000, 100000};
const std::vector<std::size_t> HostSizes{1000, 4000, 12580};

AdmitRequest admitRequest() {
  AdmitRequest out;
  out.Id = "entry-123-89abcdef-1234567";
  out.Cell = "assistant-0/123";
  out.Adapter = "oath-registration-fr-12345@7";
  out.Class = "interactive";
  out.DeadlineUs = 30000000;
  out.PrefixHash = 0x123456789abcdef0;
  out.PromptTokens = 800;
  out.Caller = "10.20.30.40";
  return out;
}

AdmitReply admitReply() {
  AdmitReply out;
  out.Granted = true;
  out.Replica = "assistant-replica-1234";
  out.Address = "10.20.30.40:12345";
  out.Fence = 12;
  out.LoadStallUs = 340000;
  return out;
}

/// Encodes and decodes the three messages of one admission; returns their size
/// in bytes, or 0 if one can't be decoded.
std::size_t admission() {
  auto request = pack(admitRequest());
  auto reply = pack(admitReply());
  auto notice = pack(FinishNotice{1});
  bool isDecoded = unpack<AdmitRequest>(request) && unpack<AdmitReply>(reply) &&
                   unpack<FinishNotice>(notice);
  return isDecoded ? request.size() + reply.size() + notice.size() : 0;
}

std::vector<HostEntry> hostsOf(std::size_t n) {
  std::vector<HostEntry> out;
  for (std::size_t it = 0; it < n; ++it)
    out.push_back({"assistant-replica-" + std::to_string(it),
                   "10.20.30.40:" + std::to_string(10000 + it), false});
  return out;
}

double headBytes(std::size_t commits) {
  ConfigHead head;
  for (std::size_t it = 0; it < commits; ++it)
    head.Commits.push_back(
        {33000 + it, "command-id-of-an-operator", "operator"});
  head.Number = 33000 + commits;
  return static_cast<double>(encodeHead(head).size());
}

EngineReport engineReport(std::size_t resident) {
  EngineReport out;
  out.Incarnation = "89abcdef01234567";
  for (std::size_t it = 0; it < resident; ++it)
    out.Resident.emplace_back(
        "oath-registration-fr-" + std::to_string(10000 + it) + "@7", 4);
  return out;
}

MemberMessage memberMessage(std::size_t records) {
  MemberMessage out;
  out.From = "entry-123";
  out.FromIncarnation = 1764700000000000;
  for (std::size_t it = 0; it < records; ++it)
    out.Members.push_back({"entry-" + std::to_string(it), 1764700000000000,
                           "10.20.30.40:8000", "10.20.30.40:8001", "hall-a",
                           "tunis-north"});
  return out;
}

/// Returns the processor time of `n` calls in microseconds.
template <typename Call> double microsOfMany(std::size_t n, Call call) {
  std::size_t sum = 0;
  auto micros = microsOf([&] {
    for (std::size_t it = 0; it < n; ++it)
      sum += call();
  });
  return sum ? micros : 0;
}

void measureRows(std::ostream &out) {
  using lease_rows::write;
  NodeRecord node{"entry-123",
                  "89abcdef01234567-1",
                  "10.20.30.40:8000",
                  "10.20.30.40:8001",
                  "hall-a",
                  false,
                  false};
  CellRecord cell{"entry-123", 12, "89abcdef01234567-1", "entry-77",
                  "76543210fedcba98-1"};
  std::string attempt = "89abcdef01234567-123456";
  auto bytes = [&](const char *what, auto rows) {
    measureSlope(out, {what, "bytes", "rows", planned::Nodes, {}},
                 {50, 200, 580}, [rows](std::size_t n) {
                   return static_cast<double>(
                       platform_format::rowsBody(rows(n)).size());
                 });
  };
  bytes("scan of lease rows, its answer", [&](std::size_t n) {
    TableRow row{lease_rows::nodeKey(node.Name), 12345, write(node, attempt)};
    return std::vector<TableRow>(n, row);
  });
  bytes("scan of ownership rows, its answer", [&](std::size_t n) {
    TableRow row{lease_rows::cellKey("assistant-0/123"), 12,
                 write(cell, attempt)};
    return std::vector<TableRow>(n, row);
  });
  bytes("scan of claim rows, its answer", [&](std::size_t n) {
    ClaimRow claim{"entry-123-89abcdef01234567-123456",
                   "entry-123-89abcdef-1234567", ClaimRow::hashOf("body"),
                   1764700000000, Outcome::Complete};
    TableRow row{ClaimRow::keyOf("labels", "key"), 2, claim.text()};
    return std::vector<TableRow>(n, row);
  });
}

void measureLists(std::ostream &out) {
  measureSlope(out,
               {"host list, its answer",
                "bytes",
                "hosts and endpoints",
                planned::Hosts,
                {}},
               HostSizes, [](std::size_t n) {
                 return static_cast<double>(hostListBody(hostsOf(n)).size());
               });
  measureSlope(
      out, {"host list read", "us", "hosts and endpoints", planned::Hosts, {}},
      HostSizes, [](std::size_t n) {
        auto body = hostListBody(hostsOf(n));
        return microsOf([&body] { readHostList(body); });
      });
  measureSlope(out, {"head row", "bytes", "commits named", 64, {}}, {4, 16, 64},
               &headBytes);
  measureSlope(
      out, {"report of a replica, its body", "bytes", "adapters loaded", 8, {}},
      {2, 8, 32}, [](std::size_t n) {
        return static_cast<double>(
            engine_format::reportBody(engineReport(n)).size());
      });
  measureSlope(
      out, {"report of a replica read", "us", "adapters loaded", 8, {}},
      {2, 8, 32}, [](std::size_t n) {
        constexpr std::size_t Reads = 1000;
        auto body = engine_format::reportBody(engineReport(n));
        return microsOfMany(
                   Reads,
                   [&body] {
                     return engine_format::readReport(body)->Resident.size();
                   }) /
               Reads;
      });
}

} // namespace

void measureMessages(std::ostream &out) {
  measureSlope(out,
               {"admission, its three messages encoded and decoded",
                "us",
                "admissions",
                0,
                {}},
               Counts,
               [](std::size_t n) { return microsOfMany(n, &admission); });
  measureSlope(
      out, {"admission, its three messages", "bytes", "admissions", 0, {}},
      Counts,
      [](std::size_t n) { return static_cast<double>(n * admission()); });
  measureSlope(
      out,
      {"membership message encoded and decoded", "us", "records in it", 7, {}},
      {1, 7, 28}, [](std::size_t n) {
        constexpr std::size_t Times = 1000;
        auto message = memberMessage(n);
        return microsOfMany(
                   Times,
                   [&message] {
                     auto bytes = pack(message);
                     return unpack<MemberMessage>(bytes)->Members.size();
                   }) /
               Times;
      });
  measureSlope(out, {"membership message", "bytes", "records in it", 7, {}},
               {1, 7, 28}, [](std::size_t n) {
                 return static_cast<double>(pack(memberMessage(n)).size());
               });
  measureRows(out);
  measureLists(out);
}

} // namespace hemlockglade::bench
