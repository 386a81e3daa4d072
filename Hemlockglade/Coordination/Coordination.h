#pragma once

// The public header of the Coordination layer: decisions, leases, the table.

#include "Hemlockglade/Coordination/Decision/AdapterTable.h"
#include "Hemlockglade/Coordination/Decision/CellCore.h"
#include "Hemlockglade/Coordination/Decision/CellState.h"
#include "Hemlockglade/Coordination/Decision/Consolidation.h"
#include "Hemlockglade/Coordination/Decision/CoreTypes.h"
#include "Hemlockglade/Coordination/Decision/DemandEstimate.h"
#include "Hemlockglade/Coordination/Decision/EvictionPolicy.h"
#include "Hemlockglade/Coordination/Decision/LoadPlanner.h"
#include "Hemlockglade/Coordination/Decision/LoadTurn.h"
#include "Hemlockglade/Coordination/Decision/OrderPlanner.h"
#include "Hemlockglade/Coordination/Decision/PrefixIndex.h"
#include "Hemlockglade/Coordination/Decision/ReplicaBook.h"
#include "Hemlockglade/Coordination/Decision/ReplicaChooser.h"
#include "Hemlockglade/Coordination/Decision/RequestDesk.h"
#include "Hemlockglade/Coordination/Decision/ResidencyTracker.h"
#include "Hemlockglade/Coordination/Decision/RetryBudget.h"
#include "Hemlockglade/Coordination/Decision/WaitQueues.h"
#include "Hemlockglade/Coordination/Lease/LeaseKeeper.h"
#include "Hemlockglade/Coordination/Table.h"
