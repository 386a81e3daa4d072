#pragma once

// The public header of the Transport layer: timers, HTTP and streams between
// nodes.

#include "Hemlockglade/Transport/Endpoint/EngineClient.h"
#include "Hemlockglade/Transport/Http/HttpClient.h"
#include "Hemlockglade/Transport/Http/HttpServer.h"
#include "Hemlockglade/Transport/Peer/PeerNet.h"
#include "Hemlockglade/Transport/Platform/PlatformClient.h"
#include "Hemlockglade/Transport/Time/TimerService.h"
