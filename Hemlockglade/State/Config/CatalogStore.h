#pragma once

#include "Hemlockglade/State/Config/CatalogView.h"

#include <mutex>

namespace hemlockglade {

/// The configuration in force on this node. Its revision only ever rises.
class CatalogStore {
public:
  CatalogStore();

  /// The view in force; it stays valid and unchanged for as long as it is
  /// held.
  std::shared_ptr<const CatalogView> current() const;

  /// Puts the next revision in force. False, and nothing changes, if the delta
  /// isn't the one that follows the revision in force.
  bool apply(const ConfigDelta &delta);
  /// Puts a whole view in force. False, and nothing changes, unless its
  /// revision is higher than the one in force.
  bool replace(CatalogView view);

private:
  mutable std::mutex Mutex;
  std::shared_ptr<const CatalogView> InForce;
};

} // namespace hemlockglade
