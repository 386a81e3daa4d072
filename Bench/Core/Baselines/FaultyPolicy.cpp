#include "Bench/Core/Baselines/FaultyPolicy.h"

#include <algorithm>
#include <memory>
#include <unordered_map>

namespace hemlockglade::bench {

namespace {

/// Number of admissions between two faults of each kind.
constexpr std::uint64_t DoubledInterval = 101;
constexpr std::uint64_t ForgottenInterval = 211;
constexpr std::uint64_t MisplacedInterval = 307;
constexpr std::uint64_t EvictedInterval = 401;

class Faulty {
public:
  explicit Faulty(Policy policy) : Inner(std::move(policy)) {}

  void handle(const Event &event, Instant now, std::vector<Action> &out) {
    if (const auto *it = std::get_if<RequestArrived>(&event))
      Adapters[it->Request] = it->Adapter;
    if (const auto *it = std::get_if<ReplicaAdded>(&event))
      Replicas = std::max(Replicas, it->Replica);
    std::vector<Action> intended;
    Inner(event, now, intended);
    for (const auto &action : intended) {
      if (const auto *it = std::get_if<Admit>(&action))
        admit(*it, out);
      else
        out.push_back(action);
    }
  }

private:
  void admit(Admit action, std::vector<Action> &out) {
    ++Admitted;
    if (Admitted % ForgottenInterval == 0)
      return;
    if (Admitted % MisplacedInterval == 0)
      action.Replica = action.Replica % Replicas + 1;
    out.push_back(action);
    if (Admitted % DoubledInterval == 0)
      out.push_back(action);
    if (Admitted % EvictedInterval == 0)
      out.push_back(Evict{action.Replica, Adapters[action.Request]});
  }

  Policy Inner;
  std::uint64_t Admitted = 0;
  ReplicaKey Replicas = 0;
  std::unordered_map<RequestKey, AdapterKey> Adapters;
};

} // namespace

Policy makeFaulty(Policy policy) {
  return [it = std::make_shared<Faulty>(std::move(policy))](
             const Event &event, Instant now, std::vector<Action> &actions) {
    it->handle(event, now, actions);
  };
}

} // namespace hemlockglade::bench
