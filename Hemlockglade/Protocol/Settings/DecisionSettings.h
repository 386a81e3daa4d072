#pragma once

#include "Hemlockglade/Coordination/Orders/CellPlacement.h"
#include "Hemlockglade/Coordination/Route/ExchangeSettings.h"
#include "Hemlockglade/Coordination/Route/ReplicaView.h"
#include "Hemlockglade/Protocol/Settings/SchemaReader.h"

namespace hemlockglade {

/// Parameters of a node's decisions: which replica a request is sent to, how
/// long it may wait, and which weights are loaded on which replica. The
/// defaults are meant for production; each mechanism can be weakened or
/// switched off to measure its effect.
struct DecisionSettings {
  ReplicaView::Settings Route;
  CellPlacement::Settings Placement;
  ExchangeSettings Exchange;
};

/// Binds the keys of the section `decisions` of a gateway's settings.
void bindDecisions(SchemaReader &map, DecisionSettings &out);

} // namespace hemlockglade
