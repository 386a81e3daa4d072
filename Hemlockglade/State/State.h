#pragma once

// The public header of the State layer: the system's data types.

#include "Hemlockglade/State/Catalog.h"
#include "Hemlockglade/State/Config/CatalogStore.h"
#include "Hemlockglade/State/Config/CatalogView.h"
#include "Hemlockglade/State/Config/ConfigDelta.h"
#include "Hemlockglade/State/Config/ShardedMap.h"
#include "Hemlockglade/State/Ids.h"
#include "Hemlockglade/State/Metrics/MetricNames.h"
#include "Hemlockglade/State/Metrics/MetricRegistry.h"
