#pragma once

#include <ostream>

namespace hemlockglade::bench {

/// Size of the deployment that the users plan.
namespace planned {
inline constexpr double Nodes = 580;
inline constexpr double Replicas = 12000;
inline constexpr double Adapters = 49000;
inline constexpr double Hosts = Nodes + Replicas;
/// Cells of each of the four services; with them a cell has about 21 replicas.
inline constexpr double CellsOfService = 143;
inline constexpr double ReplicasOfCell = 21;
/// Requests running at one node: 155 per second of 14 s each.
inline constexpr double RunningOfNode = 2200;
} // namespace planned

/// Measures the decision core: memory and processor time.
void measureCore(std::ostream &out);
/// Measures the configuration, the register of running requests and the mapping
/// of adapters to cells.
void measureState(std::ostream &out);
/// Measures messages, table rows and lists: bytes and processor time.
void measureMessages(std::ostream &out);
/// Measures leases and claims with a table in memory.
void measureTable(std::ostream &out);
/// Measures the membership and the directory.
void measureMembers(std::ostream &out);
/// Measures connections and streams between nodes.
void measurePeers(std::ostream &out);

} // namespace hemlockglade::bench
