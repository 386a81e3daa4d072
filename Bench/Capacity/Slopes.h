#pragma once

#include <ostream>

namespace hemlockglade::bench {

/// The planned size, as the letter of the users gives it.
namespace planned {
inline constexpr double Nodes = 580;
inline constexpr double Replicas = 12000;
inline constexpr double Adapters = 49000;
inline constexpr double Hosts = Nodes + Replicas;
/// Cells of all four services, so that a cell has about 21 replicas.
inline constexpr double CellsOfService = 143;
inline constexpr double ReplicasOfCell = 21;
/// Requests that run at one node: 155 a second for 14 s each.
inline constexpr double RunningOfNode = 2200;
} // namespace planned

/// The decision core: memory and time.
void measureCore(std::ostream &out);
/// Configuration, register of running requests, cells of names.
void measureState(std::ostream &out);
/// Messages, rows and lists: bytes and time.
void measureMessages(std::ostream &out);
/// Leases and claims against a table in memory.
void measureTable(std::ostream &out);
/// Membership and directory.
void measureMembers(std::ostream &out);
/// Connections and streams between nodes.
void measurePeers(std::ostream &out);

} // namespace hemlockglade::bench
