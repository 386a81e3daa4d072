#pragma once

#include "Hemlockglade/Coordination/Table.h"
#include "Hemlockglade/Protocol/Platform/PlatformFormat.h"
#include "Hemlockglade/Protocol/QueryText.h"

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

  /// Puts an object into the object store; tells whether it is there.
  void putObject(const std::string &name, std::string data,
                 std::function<void(bool)> done);
  /// Gets an object; nothing if it isn't there or the store is away.
  void getObject(const std::string &name,
                 std::function<void(std::optional<std::string>)> done);
  /// Removes an object; nothing waits for it.
  void dropObject(const std::string &name);

private:
  HttpClient &Client;
  std::string Url;
};

} // namespace hemlockglade
