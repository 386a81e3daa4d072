#include "Hemlockglade/Coordination/Config/ConfigObjects.h"

#include "Hemlockglade/Coordination/Config/ConfigFormat.h"

namespace hemlockglade {

namespace {

std::string objectName(const std::string &name, std::size_t index) {
  return name + '/' + std::to_string(index);
}

void putFrom(const ConfigHooks &hooks, std::string name,
             std::shared_ptr<const std::vector<std::string>> pieces,
             std::size_t index, std::function<void(bool)> done) {
  if (index == pieces->size())
    return done(true);
  hooks.PutObject(objectName(name, index), (*pieces)[index],
                  [hooks, name, pieces, index,
                   done = std::move(done)](bool stored) mutable {
                    if (!stored)
                      return done(false);
                    putFrom(hooks, std::move(name), std::move(pieces),
                            index + 1, std::move(done));
                  });
}

void getFrom(
    const ConfigHooks &hooks, std::string name, std::size_t count,
    std::vector<std::string> got,
    std::function<void(std::optional<std::vector<std::string>>)> done) {
  if (got.size() == count)
    return done(std::move(got));
  auto next = objectName(name, got.size());
  hooks.GetObject(std::move(next), [hooks, name, count, got = std::move(got),
                                    done = std::move(done)](auto data) mutable {
    if (!data)
      return done(std::nullopt);
    got.push_back(std::move(*data));
    getFrom(hooks, std::move(name), count, std::move(got), std::move(done));
  });
}

} // namespace

void putObjects(const ConfigHooks &hooks, std::string name,
                std::shared_ptr<const std::vector<std::string>> pieces,
                std::function<void(bool)> done) {
  putFrom(hooks, std::move(name), std::move(pieces), 0, std::move(done));
}

void getObjects(
    const ConfigHooks &hooks, std::string name, std::size_t count,
    std::function<void(std::optional<std::vector<std::string>>)> done) {
  getFrom(hooks, std::move(name), count, {}, std::move(done));
}

void dropObjects(const ConfigHooks &hooks, const std::string &name,
                 std::size_t count) {
  for (std::size_t it = 0; it < count; ++it)
    hooks.RemoveObject(objectName(name, it));
}

void loadDeltaText(const ConfigHooks &hooks, std::string row,
                   std::function<void(std::optional<std::string>)> done) {
  auto objects = decodeDeltaObjects(row);
  if (!objects)
    return done(std::move(row));
  getObjects(hooks, objects->Name, objects->Pieces,
             [done = std::move(done)](auto pieces) {
               if (!pieces)
                 return done(std::nullopt);
               std::string text;
               for (const auto &it : *pieces)
                 text += it;
               done(std::move(text));
             });
}

} // namespace hemlockglade
