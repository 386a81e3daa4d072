#pragma once

// The public header of the Coordination layer: decisions, leases, the table.

#include "Hemlockglade/Coordination/Claim/ClaimBook.h"
#include "Hemlockglade/Coordination/Decision/CellCore.h"
#include "Hemlockglade/Coordination/Lease/LeaseKeeper.h"
#include "Hemlockglade/Coordination/Lease/LeaseRows.h"
#include "Hemlockglade/Coordination/Recovery/RecoveryKeeper.h"
#include "Hemlockglade/Coordination/Retry/OutcomeOf.h"
#include "Hemlockglade/Coordination/Retry/RetryPolicy.h"
#include "Hemlockglade/Coordination/Table.h"
