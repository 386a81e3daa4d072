#pragma once

#include "Hemlockglade/Coordination/Table.h"
#include "Hemlockglade/Protocol/Platform/PlatformFormat.h"

#include "Hemlockglade/Transport/Http/HttpClient.h"

namespace hemlockglade {

/// Speaks to the platform: its table and its host list.
class PlatformClient {
public:
  /// `url` is the platform's base, `http://ip:port`.
  PlatformClient(HttpClient &client, std::string url);

  /// The table as the coordination layer uses it.
  TableHooks table();

  /// The list of hosts and endpoints; it lags behind the truth.
  void hosts(TableCallback<std::vector<HostEntry>> done);

private:
  HttpClient &Client;
  std::string Url;
};

} // namespace hemlockglade
