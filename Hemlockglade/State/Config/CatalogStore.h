#pragma once

#include "Hemlockglade/State/Config/CatalogView.h"

#include <mutex>

namespace hemlockglade {

/// The configuration in force on this node. Its revision never falls.
/// Thread-safe.
class CatalogStore {
public:
  CatalogStore();

  /// Returns the view in force. It stays valid and unchanged when another one
  /// is put in force.
  std::shared_ptr<const CatalogView> current() const;

  /// Puts the next revision in force. Returns false and changes nothing if the
  /// delta isn't the one that follows the revision in force.
  bool apply(const ConfigDelta &delta);
  /// Puts a whole view in force. Returns false and changes nothing unless its
  /// revision is higher than the one in force.
  bool replace(CatalogView view);

private:
  mutable std::mutex Mutex;
  std::shared_ptr<const CatalogView> InForce;
};

} // namespace hemlockglade
