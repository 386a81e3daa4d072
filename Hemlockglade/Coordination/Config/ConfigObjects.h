#pragma once

#include "Hemlockglade/Coordination/Config/ConfigTypes.h"

namespace hemlockglade {

/// Writes `pieces` as the objects `name/0`, `name/1`, ..., one at a time. Calls
/// `done(false)` at the first that can't be written.
void putObjects(const ConfigHooks &hooks, std::string name,
                std::shared_ptr<const std::vector<std::string>> pieces,
                std::function<void(bool)> done);

/// Reads the objects `name/0` to `name/count-1`, one at a time. `done` gets
/// nothing if one can't be read.
void getObjects(
    const ConfigHooks &hooks, std::string name, std::size_t count,
    std::function<void(std::optional<std::vector<std::string>>)> done);

/// Removes the objects `name/0` to `name/count-1`.
void dropObjects(const ConfigHooks &hooks, const std::string &name,
                 std::size_t count);

/// Passes to `done` the text of the delta that a row has or refers to; nothing
/// if its objects can't be read.
void loadDeltaText(const ConfigHooks &hooks, std::string row,
                   std::function<void(std::optional<std::string>)> done);

} // namespace hemlockglade
