#pragma once

// The public header of the Protocol layer: what goes over the wire.

#include "Hemlockglade/Protocol/Endpoint/EngineFormat.h"
#include "Hemlockglade/Protocol/Message/MembershipMessages.h"
#include "Hemlockglade/Protocol/Message/PeerMessages.h"
#include "Hemlockglade/Protocol/Platform/PlatformFormat.h"
#include "Hemlockglade/Protocol/ProtocolError.h"
#include "Hemlockglade/Protocol/Settings/Declarations.h"
#include "Hemlockglade/Protocol/Settings/NodeSettings.h"
