#pragma once

// The public header of the Coordination layer: decisions, leases, the table.

#include "Hemlockglade/Coordination/Config/ConfigFormat.h"
#include "Hemlockglade/Coordination/Config/ConfigKeeper.h"
#include "Hemlockglade/Coordination/Decision/CellCore.h"
#include "Hemlockglade/Coordination/Directory/Directory.h"
#include "Hemlockglade/Coordination/Lease/LeaseKeeper.h"
#include "Hemlockglade/Coordination/Membership/MemberTypes.h"
#include "Hemlockglade/Coordination/Membership/Membership.h"
#include "Hemlockglade/Coordination/Table.h"
