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
/// Connections that a gate needs to a target besides one for each slot: one for
/// health checks and one for cancellations.
constexpr int64_t kReservedConnections = 2;
constexpr int64_t kMaxColdSuccesses = 1'000'000;
constexpr char kEntryPrefix[] = "entries/";
constexpr char kServicePrefix[] = "services/";
constexpr char kDomainPrefix[] = "failure_domains/";

using Errors = std::vector<std::string>;

bool HasPrefix(const std::string& key, const char* prefix) {
  return key.rfind(prefix, 0) == 0;
}

std::string NameOf(const std::string& key) {
  return key.substr(key.find('/') + 1);
}

EntryLimits ReadLimits(JsonObjectReader& entry, const json* object,
                       Errors& errors) {
  EntryLimits limits;
  if (object == nullptr) return limits;
  JsonObjectReader fields(entry.PathOf("limits"), *object, errors);
  limits.rate_per_s = fields.Number("rate_per_s", 0, 0.001, kMaxRatePerS);
  limits.concurrency =
      static_cast<int>(fields.Integer("concurrency", 0, 1, kMaxConcurrency));
  if (limits.rate_per_s == 0)
    fields.AddError("rate_per_s", "a positive number");
  if (limits.concurrency == 0)
    fields.AddError("concurrency", "a positive integer");
  fields.RejectUnknownKeys();
  return limits;
}

Entry ReadEntry(const std::string& key, const json& value, Errors& errors) {
  JsonObjectReader fields(key, value, errors);
  Entry entry;
  entry.name = NameOf(key);
  entry.owner = fields.RequiredString("owner");
  entry.entry_class = static_cast<EntryClass>(
      fields.Choice("class", {"latency", "coverage"}, 0));
  entry.kind =
      static_cast<EntryKind>(fields.Choice("kind", {"query", "action"}, 0));
  entry.service = fields.RequiredString("service");
  entry.limits = ReadLimits(fields, fields.Object("limits", true), errors);
  const int64_t hard_ms = fields.Integer(
      "hard_deadline_ms", kDefaultHardDeadlineMs, 1, kMaxDeadlineMs);
  const int64_t soft_ms = fields.Integer(
      "soft_deadline_ms", std::min(kDefaultSoftDeadlineMs, hard_ms), 1,
      kMaxDeadlineMs);
  if (soft_ms > hard_ms) {
    fields.AddError("soft_deadline_ms",
                    "a value not greater than hard_deadline_ms");
  }
  entry.soft_deadline = absl::Milliseconds(soft_ms);
  entry.hard_deadline = absl::Milliseconds(hard_ms);
  entry.merge = static_cast<MergeKind>(
      fields.Choice("merge", {"concat", "top_score"}, 0));
  entry.canary =
      static_cast<CanaryMode>(fields.Choice("canary", {"always", "never"}, 0));
  fields.RejectUnknownKeys();
  return entry;
}

KeyRange ReadRange(JsonObjectReader& shard, Errors& errors) {
  const json* array = shard.Array("range", true);
  if (array == nullptr) return {};
  const bool two_strings =
      array->size() == 2 && (*array)[0].is_string() && (*array)[1].is_string();
  if (!two_strings) {
    shard.AddError("range", "an array of two hexadecimal keys");
    return {};
  }
  KeyRange range{(*array)[0].get<std::string>(),
                 (*array)[1].get<std::string>()};
  const auto is_hex = [](const std::string& key) {
    return key.find_first_not_of("0123456789abcdef") == std::string::npos;
  };
  if (!is_hex(range.begin) || !is_hex(range.end)) {
    shard.AddError("range", "keys of lower-case hexadecimal digits");
  }
  if (range.Empty())
    errors.push_back(shard.PathOf("range") + ": expected begin < end");
  return range;
}

Shard ReadShard(const std::string& path, const json& value, Errors& errors) {
  JsonObjectReader fields(path, value, errors);
  Shard shard;
  shard.id = fields.RequiredString("shard");
  shard.range = ReadRange(fields, errors);
  if (const json* replicas = fields.Array("replicas", true)) {
    for (const json& replica : *replicas) {
      if (replica.is_string()) {
        shard.replicas.push_back(replica.get<std::string>());
      } else {
        fields.AddError("replicas", "target ids that are strings");
      }
    }
  }
  const std::set<TargetId> distinct(shard.replicas.begin(),
                                    shard.replicas.end());
  if (distinct.size() != shard.replicas.size()) {
    fields.AddError("replicas", "each target at most once");
  }
  fields.RejectUnknownKeys();
  return shard;
}

ShardMap ReadShardMap(JsonObjectReader& service, const json* object,
                      Errors& errors) {
  ShardMap map;
  if (object == nullptr) return map;
  const std::string path = service.PathOf("shard_map");
  JsonObjectReader fields(path, *object, errors);
  map.version = fields.Integer("version", 0, 0, INT64_MAX);
  const json* shards = fields.Array("shards", true);
  fields.RejectUnknownKeys();
  if (shards == nullptr) return map;
  std::set<ShardId> ids;
  std::vector<KeyRange> ranges;
  for (size_t i = 0; i < shards->size(); ++i) {
    const std::string shard_path = absl::StrCat(path, ".shards[", i, "]");
    map.shards.push_back(ReadShard(shard_path, (*shards)[i], errors));
    if (!ids.insert(map.shards.back().id).second) {
      errors.push_back(shard_path +
                       ".shard: expected an id that no other shard has");
    }
    ranges.push_back(map.shards.back().range);
  }
  if (!TilesKeySpace(ranges)) {
    fields.AddError(
        "shards",
        "ranges in key order that cover the key space without gaps or "
        "overlaps and end at \"\"");
  }
  return map;
}

Service ReadService(const std::string& key, const json& value, Errors& errors) {
  JsonObjectReader fields(key, value, errors);
  Service service;
  service.name = NameOf(key);
  service.shard_map =
      ReadShardMap(fields, fields.Object("shard_map", true), errors);
  if (const json* versions = fields.Array("index_versions", true)) {
    for (const json& version : *versions) {
      if (version.is_number_integer()) {
        service.index_versions.push_back(version.get<IndexVersion>());
      } else {
        fields.AddError("index_versions", "integers");
      }
    }
    if (service.index_versions.empty()) {
      fields.AddError("index_versions", "at least one version");
    }
  }
  std::sort(service.index_versions.begin(), service.index_versions.end());
  service.slots = static_cast<int>(fields.Integer("slots", 1, 1, kMaxSlots));
  const int64_t min_connections = service.slots + kReservedConnections;
  service.connections = static_cast<int>(fields.Integer(
      "connections", min_connections, min_connections, kMaxConnections));
  if (const json* cold = fields.Object("cold", false)) {
    JsonObjectReader cold_fields(fields.PathOf("cold"), *cold, errors);
    service.cold.concurrency = static_cast<int>(
        cold_fields.Integer("concurrency", 1, 1, service.slots));
    service.cold.successes = static_cast<int>(
        cold_fields.Integer("successes", 20, 1, kMaxColdSuccesses));
    cold_fields.RejectUnknownKeys();
  }
  fields.RejectUnknownKeys();
  return service;
}

FailureDomain ReadFailureDomain(const std::string& key, const json& value,
                                Errors& errors) {
  JsonObjectReader fields(key, value, errors);
  FailureDomain domain;
  domain.name = NameOf(key);
  domain.state =
      static_cast<DomainState>(fields.Choice("state", {"in", "out"}, 0));
  domain.region = fields.String("region", "");
  fields.RejectUnknownKeys();
  return domain;
}

CatalogueValue ReadValue(const std::string& key, const json& value,
                         Errors& errors) {
  if (NameOf(key).empty())
    errors.push_back(key + ": expected a name after the /");
  if (HasPrefix(key, kEntryPrefix)) return ReadEntry(key, value, errors);
  if (HasPrefix(key, kServicePrefix)) return ReadService(key, value, errors);
  if (HasPrefix(key, kDomainPrefix)) {
    return ReadFailureDomain(key, value, errors);
  }
  errors.push_back(absl::StrCat(
      key, ": expected entries/, services/ or failure_domains/ before a name"));
  return FailureDomain{};
}

int LineOfOffset(const std::string& text, size_t offset) {
  const auto end =
      text.begin() + static_cast<ptrdiff_t>(std::min(offset, text.size()));
  return 1 + static_cast<int>(std::count(text.begin(), end, '\n'));
}

// Returns the line of the innermost member in the path of an error message,
// searching the text from the position of the key. A name that occurs several
// times in one value resolves to its first occurrence.
int LineOfError(const std::string& text, const std::string& key,
                const std::string& message) {
  const size_t key_at = text.find("\"" + key + "\"");
  if (key_at == std::string::npos) return 1;
  const std::string path = message.substr(0, message.find(": "));
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

struct KeyedError {
  std::string key;
  std::string message;
};

void CheckReferences(const std::vector<CatalogueValue>& values,
                     std::vector<KeyedError>& errors) {
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
    errors.push_back(
        {key, key + ".service: expected a service defined in the file, got " +
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
  Errors errors;
  CatalogueValue parsed = ReadValue(key, value, errors);
  if (!errors.empty()) {
    return Error{ErrorCode::kInvalidInput, absl::StrJoin(errors, "; ")};
  }
  return parsed;
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
  std::vector<KeyedError> errors;
  std::vector<CatalogueValue> values;
  for (const auto& [key, value] : document.items()) {
    Errors key_errors;
    CatalogueValue parsed = ReadValue(key, value, key_errors);
    for (const std::string& message : key_errors)
      errors.push_back({key, message});
    if (key_errors.empty()) values.push_back(std::move(parsed));
  }
  CheckReferences(values, errors);
  std::vector<std::string> messages;
  for (const KeyedError& error : errors) {
    messages.push_back(absl::StrCat(file_name, ":",
                                    LineOfError(text, error.key, error.message),
                                    ": ", error.message));
  }
  return messages;
}

}  // namespace cherrydyke
