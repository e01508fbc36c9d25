#include "catalogue/checks.h"

#include <algorithm>
#include <set>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "json_object_reader.h"

namespace cherrydyke {
namespace {

using nlohmann::json;

constexpr int64_t kMaxDeadlineMs = 10'000;
constexpr int64_t kDefaultSoftDeadlineMs = 120;
constexpr int64_t kDefaultHardDeadlineMs = 400;
constexpr int64_t kMaxConcurrency = 1'000'000;
constexpr double kMaxRatePerS = 10'000'000;
constexpr int64_t kMaxSlots = 1024;
constexpr int64_t kMaxConnections = 100'000;
/// Connections that a gate needs at a target beyond one for each slot: one to
/// read the health and one to cancel.
constexpr int64_t kOwnConnections = 2;
constexpr int64_t kMaxColdSuccesses = 1'000'000;
constexpr char kEntryPrefix[] = "entries/";
constexpr char kServicePrefix[] = "services/";
constexpr char kDomainPrefix[] = "failure_domains/";

using Faults = std::vector<std::string>;

bool HasPrefix(const std::string& key, const char* prefix) {
  return key.rfind(prefix, 0) == 0;
}

std::string NameOf(const std::string& key) {
  return key.substr(key.find('/') + 1);
}

EntryLimits ReadLimits(JsonObjectReader& entry, const json* object,
                       Faults& faults) {
  EntryLimits limits;
  if (object == nullptr) return limits;
  JsonObjectReader fields(entry.PathOf("limits"), *object, faults);
  limits.rate_per_s = fields.Number("rate_per_s", 0, 0.001, kMaxRatePerS);
  limits.concurrency =
      static_cast<int>(fields.Integer("concurrency", 0, 1, kMaxConcurrency));
  if (limits.rate_per_s == 0) fields.Fault("rate_per_s", "a positive number");
  if (limits.concurrency == 0)
    fields.Fault("concurrency", "a positive integer");
  fields.RejectUnknown();
  return limits;
}

Entry ReadEntry(const std::string& key, const json& value, Faults& faults) {
  JsonObjectReader fields(key, value, faults);
  Entry entry;
  entry.name = NameOf(key);
  entry.owner = fields.RequiredText("owner");
  entry.entry_class = static_cast<EntryClass>(
      fields.Choice("class", {"latency", "coverage"}, 0));
  entry.kind =
      static_cast<EntryKind>(fields.Choice("kind", {"query", "action"}, 0));
  entry.service = fields.RequiredText("service");
  entry.limits = ReadLimits(fields, fields.Object("limits", true), faults);
  const int64_t hard_ms = fields.Integer(
      "hard_deadline_ms", kDefaultHardDeadlineMs, 1, kMaxDeadlineMs);
  const int64_t soft_ms = fields.Integer(
      "soft_deadline_ms", std::min(kDefaultSoftDeadlineMs, hard_ms), 1,
      kMaxDeadlineMs);
  if (soft_ms > hard_ms) {
    fields.Fault("soft_deadline_ms",
                 "a value no greater than hard_deadline_ms");
  }
  entry.soft_deadline = absl::Milliseconds(soft_ms);
  entry.hard_deadline = absl::Milliseconds(hard_ms);
  entry.merge = static_cast<MergeKind>(
      fields.Choice("merge", {"concat", "top_score"}, 0));
  entry.canary =
      static_cast<CanaryMode>(fields.Choice("canary", {"always", "never"}, 0));
  fields.RejectUnknown();
  return entry;
}

KeyRange ReadRange(JsonObjectReader& shard, Faults& faults) {
  const json* array = shard.Array("range", true);
  if (array == nullptr) return {};
  const bool two_texts =
      array->size() == 2 && (*array)[0].is_string() && (*array)[1].is_string();
  if (!two_texts) {
    shard.Fault("range", "two hexadecimal keys");
    return {};
  }
  KeyRange range{(*array)[0].get<std::string>(),
                 (*array)[1].get<std::string>()};
  const auto is_hex = [](const std::string& key) {
    return key.find_first_not_of("0123456789abcdef") == std::string::npos;
  };
  if (!is_hex(range.begin) || !is_hex(range.end)) {
    shard.Fault("range", "keys of lower-case hexadecimal digits");
  }
  if (range.Empty())
    faults.push_back(shard.PathOf("range") + ": expected begin < end");
  return range;
}

Shard ReadShard(const std::string& path, const json& value, Faults& faults) {
  JsonObjectReader fields(path, value, faults);
  Shard shard;
  shard.id = fields.RequiredText("shard");
  shard.range = ReadRange(fields, faults);
  if (const json* replicas = fields.Array("replicas", true)) {
    for (const json& replica : *replicas) {
      if (replica.is_string()) {
        shard.replicas.push_back(replica.get<std::string>());
      } else {
        fields.Fault("replicas", "target ids as strings");
      }
    }
  }
  const std::set<TargetId> distinct(shard.replicas.begin(),
                                    shard.replicas.end());
  if (distinct.size() != shard.replicas.size()) {
    fields.Fault("replicas", "each target at most once");
  }
  fields.RejectUnknown();
  return shard;
}

ShardMap ReadShardMap(JsonObjectReader& service, const json* object,
                      Faults& faults) {
  ShardMap map;
  if (object == nullptr) return map;
  const std::string path = service.PathOf("shard_map");
  JsonObjectReader fields(path, *object, faults);
  map.version = fields.Integer("version", 0, 0, INT64_MAX);
  const json* shards = fields.Array("shards", true);
  fields.RejectUnknown();
  if (shards == nullptr) return map;
  std::set<ShardId> ids;
  std::vector<KeyRange> ranges;
  for (size_t i = 0; i < shards->size(); ++i) {
    const std::string shard_path = absl::StrCat(path, ".shards[", i, "]");
    map.shards.push_back(ReadShard(shard_path, (*shards)[i], faults));
    if (!ids.insert(map.shards.back().id).second) {
      faults.push_back(shard_path + ".shard: expected an id used once");
    }
    ranges.push_back(map.shards.back().range);
  }
  if (!TilesKeySpace(ranges)) {
    fields.Fault("shards",
                 "ranges in key order that cover the key space without gap or "
                 "overlap, the last one's end \"\"");
  }
  return map;
}

Service ReadService(const std::string& key, const json& value, Faults& faults) {
  JsonObjectReader fields(key, value, faults);
  Service service;
  service.name = NameOf(key);
  service.shard_map =
      ReadShardMap(fields, fields.Object("shard_map", true), faults);
  if (const json* versions = fields.Array("index_versions", true)) {
    for (const json& version : *versions) {
      if (version.is_number_integer()) {
        service.index_versions.push_back(version.get<IndexVersion>());
      } else {
        fields.Fault("index_versions", "integers");
      }
    }
    if (service.index_versions.empty()) {
      fields.Fault("index_versions", "at least one version");
    }
  }
  std::sort(service.index_versions.begin(), service.index_versions.end());
  service.slots = static_cast<int>(fields.Integer("slots", 1, 1, kMaxSlots));
  const int64_t least_connections = service.slots + kOwnConnections;
  service.connections = static_cast<int>(fields.Integer(
      "connections", least_connections, least_connections, kMaxConnections));
  if (const json* cold = fields.Object("cold", false)) {
    JsonObjectReader cold_fields(fields.PathOf("cold"), *cold, faults);
    service.cold.concurrency = static_cast<int>(
        cold_fields.Integer("concurrency", 1, 1, service.slots));
    service.cold.successes = static_cast<int>(
        cold_fields.Integer("successes", 20, 1, kMaxColdSuccesses));
    cold_fields.RejectUnknown();
  }
  fields.RejectUnknown();
  return service;
}

FailureDomain ReadFailureDomain(const std::string& key, const json& value,
                                Faults& faults) {
  JsonObjectReader fields(key, value, faults);
  FailureDomain domain;
  domain.name = NameOf(key);
  domain.state =
      static_cast<DomainState>(fields.Choice("state", {"in", "out"}, 0));
  domain.region = fields.Text("region", "");
  fields.RejectUnknown();
  return domain;
}

CatalogueValue ReadValue(const std::string& key, const json& value,
                         Faults& faults) {
  if (NameOf(key).empty()) faults.push_back(key + ": expected a name after /");
  if (HasPrefix(key, kEntryPrefix)) return ReadEntry(key, value, faults);
  if (HasPrefix(key, kServicePrefix)) return ReadService(key, value, faults);
  if (HasPrefix(key, kDomainPrefix)) {
    return ReadFailureDomain(key, value, faults);
  }
  faults.push_back(absl::StrCat(
      key, ": expected entries/, services/ or failure_domains/ before a name"));
  return FailureDomain{};
}

int LineOfOffset(const std::string& text, size_t offset) {
  const auto end =
      text.begin() + static_cast<ptrdiff_t>(std::min(offset, text.size()));
  return 1 + static_cast<int>(std::count(text.begin(), end, '\n'));
}

// Finds the line of a fault's innermost named member by walking the text from
// the key's own position. Repeated names inside one key resolve to the first.
int LineOfFault(const std::string& text, const std::string& key,
                const std::string& fault) {
  const size_t key_at = text.find("\"" + key + "\"");
  if (key_at == std::string::npos) return 1;
  const std::string path = fault.substr(0, fault.find(": "));
  size_t position = key_at;
  size_t part_begin = key.size() + 1;
  while (part_begin < path.size()) {
    const size_t part_end = std::min(path.find('.', part_begin), path.size());
    std::string part = path.substr(part_begin, part_end - part_begin);
    part = part.substr(0, part.find('['));
    const size_t found = text.find("\"" + part + "\"", position);
    if (found == std::string::npos) break;
    position = found;
    part_begin = part_end + 1;
  }
  return LineOfOffset(text, position);
}

struct NamedFault {
  std::string key;
  std::string message;
};

void CheckReferences(const std::vector<CatalogueValue>& values,
                     std::vector<NamedFault>& faults) {
  std::set<ServiceName> services;
  for (const CatalogueValue& value : values) {
    if (const auto* service = std::get_if<Service>(&value)) {
      services.insert(service->name);
    }
  }
  for (const CatalogueValue& value : values) {
    const auto* entry = std::get_if<Entry>(&value);
    if (entry == nullptr || services.count(entry->service) > 0) continue;
    const std::string key = kEntryPrefix + entry->name;
    faults.push_back(
        {key, key + ".service: expected a service that the file holds, got " +
                  entry->service});
  }
}

}  // namespace

Result<CatalogueValue> CheckValue(const std::string& key,
                                  const std::string& text) {
  const json value = json::parse(text, nullptr, false);
  if (value.is_discarded()) {
    return Error{ErrorCode::kInvalidInput, key + ": expected JSON"};
  }
  Faults faults;
  CatalogueValue read = ReadValue(key, value, faults);
  if (!faults.empty()) {
    return Error{ErrorCode::kInvalidInput, absl::StrJoin(faults, "; ")};
  }
  return read;
}

std::vector<std::string> CheckCatalogueFile(const std::string& file_name,
                                            const std::string& text) {
  json document;
  try {
    document = json::parse(text);
  } catch (const json::parse_error& error) {
    return {absl::StrCat(file_name, ":", LineOfOffset(text, error.byte),
                         ": expected JSON: ", error.what())};
  }
  if (!document.is_object()) {
    return {absl::StrCat(file_name, ":1: expected an object of keys")};
  }
  std::vector<NamedFault> faults;
  std::vector<CatalogueValue> values;
  for (const auto& [key, value] : document.items()) {
    Faults key_faults;
    CatalogueValue read = ReadValue(key, value, key_faults);
    for (const std::string& fault : key_faults) faults.push_back({key, fault});
    if (key_faults.empty()) values.push_back(std::move(read));
  }
  CheckReferences(values, faults);
  std::vector<std::string> messages;
  for (const NamedFault& fault : faults) {
    messages.push_back(absl::StrCat(file_name, ":",
                                    LineOfFault(text, fault.key, fault.message),
                                    ": ", fault.message));
  }
  return messages;
}

}  // namespace cherrydyke
