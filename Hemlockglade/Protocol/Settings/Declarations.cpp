#include "Hemlockglade/Protocol/Settings/Declarations.h"

#include "Hemlockglade/Protocol/Settings/ReferenceCheck.h"
#include "Hemlockglade/Protocol/Settings/SchemaReader.h"
#include "Hemlockglade/Protocol/Settings/TextChecks.h"

#include <algorithm>

namespace hemlockglade {

namespace {

constexpr NumberRange CellRange{1, 10'000};
constexpr NumberRange SlotRange{1, 100'000};
constexpr NumberRange VersionRange{1, 4'294'967'295};
constexpr NumberRange PriorityRange{0, 255};
constexpr NumberRange DeadlineRange{1, 3'600'000};
constexpr NumberRange QueueRange{1, 1'000'000};
constexpr NumberRange CopiesRange{1, 10'000};
constexpr std::string_view ServiceKindNames[] = {"engine", "plain"};

bool isAdapterVersion(std::string_view text) {
  auto adapter = AdapterRef::parse(text);
  return adapter && adapter->Version > 0 && isName(adapter->Name);
}

/// Returns whether the text is a name, or a possibly empty prefix of one
/// followed by `*`.
bool isPattern(std::string_view text) {
  if (!text.ends_with('*'))
    return isName(text);
  text.remove_suffix(1);
  return text.empty() || isName(text);
}

/// Reads a declarations file into a catalog, one list after the other.
class DeclarationsReader {
public:
  DeclarationsReader(FaultList &faults, ReferenceCheck &references)
      : Faults(faults), References(references) {}

  Catalog read(const YAML::Node &root);

private:
  void readService(SchemaReader &map);
  void readReplica(SchemaReader &map);
  void readAdapter(SchemaReader &map);
  void readClass(SchemaReader &map);
  void readPin(SchemaReader &map);
  void readRule(SchemaReader &map);
  void readDrained(SchemaReader &root);

  /// Reads a list of mappings; each item is read by one of the methods above.
  void readList(SchemaReader &root, const char *key,
                void (DeclarationsReader::*readItem)(SchemaReader &));
  /// Adds a reference to be checked after the whole file has been read.
  void addReference(SchemaReader &map, const char *key, ReferenceKind kind,
                    const std::string &value);
  /// Inserts a value under its name; a duplicate name is a fault.
  template <typename Map, typename T>
  void insertUnique(SchemaReader &map, const char *key, Map &into,
                    const std::string &name, T value);

  FaultList &Faults;
  ReferenceCheck &References;
  Catalog Out;
};

void DeclarationsReader::readList(
    SchemaReader &root, const char *key,
    void (DeclarationsReader::*readItem)(SchemaReader &)) {
  root.list(key, Presence::Optional,
            [&](const YAML::Node &node, const std::string &path) {
              SchemaReader map(node, path + '.', Faults);
              if (!node.IsMap())
                return;
              (this->*readItem)(map);
              map.finish();
            });
}

void DeclarationsReader::addReference(SchemaReader &map, const char *key,
                                      ReferenceKind kind,
                                      const std::string &value) {
  if (!value.empty())
    References.add({kind, value, map.markOf(key), map.pathOf(key)});
}

template <typename Map, typename T>
void DeclarationsReader::insertUnique(SchemaReader &map, const char *key,
                                      Map &into, const std::string &name,
                                      T value) {
  if (!name.empty() && !into.emplace(name, std::move(value)).second)
    map.fault(key, "each name once; '" + name + "' is a duplicate");
}

void DeclarationsReader::readService(SchemaReader &map) {
  ServiceConfig it;
  std::size_t kind = 0;
  map.name("name", it.Name, Presence::Required);
  map.choice("kind", kind, ServiceKindNames);
  map.number("cells", it.Cells, CellRange);
  map.name("base_model", it.BaseModel, Presence::Optional);
  map.number("objective_percent", it.ObjectivePercent, {0, 100});
  it.Kind = kind == 0 ? ServiceKind::Engine : ServiceKind::Plain;
  if (it.Kind == ServiceKind::Plain && !it.BaseModel.empty())
    map.fault("base_model", "no base model for a plain service");
  insertUnique(map, "name", Out.Services, it.Name, it);
}

void DeclarationsReader::readReplica(SchemaReader &map) {
  ReplicaConfig it;
  map.name("name", it.Name, Presence::Required);
  map.name("service", it.Service, Presence::Required);
  map.text("address", it.Address, Presence::Required, "a numeric ip:port",
           isEndpointAddress);
  map.name("failure_domain", it.FailureDomain, Presence::Required);
  map.number("slots", it.Slots, SlotRange);
  map.number("batch", it.Batch, SlotRange);
  map.flag("checks_fencing", it.ChecksFencing);
  addReference(map, "service", ReferenceKind::Service, it.Service);
  insertUnique(map, "name", Out.Replicas, it.Name, it);
}

void DeclarationsReader::readAdapter(SchemaReader &map) {
  AdapterConfig it;
  map.name("name", it.Name, Presence::Required);
  map.name("service", it.Service, Presence::Required);
  map.numbers("versions", it.Versions, Presence::Required, VersionRange);
  if (!it.Versions.empty())
    it.Current = it.Versions.back();
  map.number("current", it.Current, VersionRange);
  if (!it.Versions.empty() && std::find(it.Versions.begin(), it.Versions.end(),
                                        it.Current) == it.Versions.end())
    map.fault("current",
              "one of the versions, not " + std::to_string(it.Current));
  addReference(map, "service", ReferenceKind::EngineService, it.Service);
  insertUnique(map, "name", Out.Adapters, it.Name, it);
}

void DeclarationsReader::readClass(SchemaReader &map) {
  ServiceClass it;
  map.name("name", it.Name, Presence::Required);
  map.number("priority", it.Priority, PriorityRange);
  map.milliseconds("deadline_ms", it.Deadline, DeadlineRange);
  map.number("queue_limit", it.QueueLimit, QueueRange);
  insertUnique(map, "name", Out.Classes, it.Name, it);
}

void DeclarationsReader::readPin(SchemaReader &map) {
  PinConfig it;
  std::string adapter;
  map.text("adapter", adapter, Presence::Required,
           "an adapter and version, such as oath-fr@7", isAdapterVersion);
  map.name("failure_domain", it.FailureDomain, Presence::Optional);
  map.number("copies", it.Copies, CopiesRange);
  addReference(map, "adapter", ReferenceKind::AdapterVersion, adapter);
  addReference(map, "failure_domain", ReferenceKind::FailureDomain,
               it.FailureDomain);
  if (adapter.empty())
    return;
  it.Adapter = *AdapterRef::parse(adapter);
  insertUnique(map, "adapter", Out.Pins, pinName(it), it);
}

void DeclarationsReader::readRule(SchemaReader &map) {
  PlacementRule it;
  map.text("adapter", it.Adapter, Presence::Required,
           "an adapter's name, or a prefix followed by '*'", isPattern);
  map.names("failure_domains", it.FailureDomains, Presence::Required);
  if (!it.Adapter.ends_with('*'))
    addReference(map, "adapter", ReferenceKind::Adapter, it.Adapter);
  for (const auto &domain : it.FailureDomains)
    addReference(map, "failure_domains", ReferenceKind::FailureDomain, domain);
  bool repeated =
      std::any_of(Out.Rules.begin(), Out.Rules.end(),
                  [&](const auto &rule) { return rule.Adapter == it.Adapter; });
  if (repeated && !it.Adapter.empty())
    map.fault("adapter",
              "each adapter once; '" + it.Adapter + "' is a duplicate");
  Out.Rules.push_back(std::move(it));
}

void DeclarationsReader::readDrained(SchemaReader &root) {
  std::vector<std::string> names;
  root.names("drained", names, Presence::Optional);
  for (const auto &name : names) {
    addReference(root, "drained", ReferenceKind::Replica, name);
    Out.Drained.emplace(name, true);
  }
}

Catalog DeclarationsReader::read(const YAML::Node &root) {
  SchemaReader map(root, "", Faults);
  readList(map, "services", &DeclarationsReader::readService);
  readList(map, "replicas", &DeclarationsReader::readReplica);
  readList(map, "adapters", &DeclarationsReader::readAdapter);
  readList(map, "classes", &DeclarationsReader::readClass);
  readList(map, "rules", &DeclarationsReader::readRule);
  readList(map, "pins", &DeclarationsReader::readPin);
  readDrained(map);
  map.finish();
  return std::move(Out);
}

} // namespace

tl::expected<Catalog, SettingsFaults>
checkDeclarations(const std::string &text, const std::string &file) {
  auto root = parseYaml(text, file);
  if (!root)
    return tl::unexpected(root.error());
  FaultList faults(file);
  ReferenceCheck references;
  auto catalog = DeclarationsReader(faults, references).read(*root);
  references.check(catalog, faults);
  if (!faults.empty())
    return tl::unexpected(faults.take());
  return catalog;
}

tl::expected<Catalog, ProtocolError> readDeclarations(const std::string &text) {
  auto catalog = checkDeclarations(text, "declarations");
  if (catalog)
    return std::move(*catalog);
  return tl::unexpected(
      ProtocolError{ProtocolErrorKind::BadValue, faultText(catalog.error())});
}

} // namespace hemlockglade
