#pragma once

#include "Hemlockglade/Coordination/Table.h"
#include "Hemlockglade/Protocol/Platform/PlatformFormat.h"
#include "Hemlockglade/Protocol/QueryText.h"

#include "Hemlockglade/Transport/Http/HttpClient.h"

namespace hemlockglade {

/// Client of the platform's table, host list and object store.
class PlatformClient {
public:
  /// `url` is the platform's base URL, `http://ip:port`.
  PlatformClient(HttpClient &client, std::string url);

  /// Returns the table operations for the coordination layer.
  TableHooks table();

  /// Reads the list of hosts and endpoints, which may be out of date.
  void hosts(TableCallback<std::vector<HostEntry>> done);

  /// Puts an object into the object store. `done` gets whether the store
  /// confirmed it.
  void putObject(const std::string &name, std::string data,
                 std::function<void(bool)> done);
  /// Gets an object. `done` gets nothing if the object does not exist or the
  /// store is not available.
  void getObject(const std::string &name,
                 std::function<void(std::optional<std::string>)> done);
  /// Removes an object without reporting the result.
  void dropObject(const std::string &name);

private:
  HttpClient &Client;
  std::string Url;
};

} // namespace hemlockglade
