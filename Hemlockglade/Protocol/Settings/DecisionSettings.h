#pragma once

#include "Hemlockglade/Coordination/Orders/CellPlacement.h"
#include "Hemlockglade/Coordination/Route/ExchangeSettings.h"
#include "Hemlockglade/Coordination/Route/ReplicaView.h"
#include "Hemlockglade/Protocol/Settings/SchemaReader.h"

namespace hemlockglade {

/// How a node decides where requests go, how long they wait and which weights
/// are loaded where. The defaults serve; each mechanism can be weakened or
/// switched off, to see what it is worth.
struct DecisionSettings {
  ReplicaView::Settings Route;
  CellPlacement::Settings Desk;
  ExchangeSettings Exchange;
};

/// Binds the keys of the section `decisions` of a node's settings.
void bindDecisions(SchemaReader &map, DecisionSettings &out);

} // namespace hemlockglade
