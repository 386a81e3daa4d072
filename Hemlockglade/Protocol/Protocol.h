#pragma once

// The public header of the Protocol layer: encoding, decoding and validation of
// messages, settings, declarations, statements and log lines.

#include "Hemlockglade/Protocol/Account/LogAccount.h"
#include "Hemlockglade/Protocol/Account/LogLine.h"
#include "Hemlockglade/Protocol/Admin/AdminFormat.h"
#include "Hemlockglade/Protocol/Endpoint/EngineFormat.h"
#include "Hemlockglade/Protocol/Endpoint/EventSplitter.h"
#include "Hemlockglade/Protocol/Message/MembershipMessages.h"
#include "Hemlockglade/Protocol/Message/PeerMessages.h"
#include "Hemlockglade/Protocol/Message/RecoveryMessages.h"
#include "Hemlockglade/Protocol/Platform/PlatformFormat.h"
#include "Hemlockglade/Protocol/ProtocolError.h"
#include "Hemlockglade/Protocol/QueryText.h"
#include "Hemlockglade/Protocol/Settings/CatalogDiff.h"
#include "Hemlockglade/Protocol/Settings/Declarations.h"
#include "Hemlockglade/Protocol/Settings/NodeSettings.h"
#include "Hemlockglade/Protocol/Settings/SettingsFault.h"
#include "Hemlockglade/Protocol/Settings/TextChecks.h"
#include "Hemlockglade/Protocol/Statement/FieldValue.h"
#include "Hemlockglade/Protocol/Statement/Statement.h"
#include "Hemlockglade/Protocol/Statement/StatementRows.h"
