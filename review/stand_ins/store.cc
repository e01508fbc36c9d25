#include "store.h"

#include <chrono>
#include <cstdlib>
#include <utility>

namespace cherrydyke::review {
namespace {

/// Time of an answer, as the users' pages give it.
constexpr int64_t kAnswerMs = 4;

std::string Base64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t at = 0; at < bytes.size(); at += 3) {
    uint32_t group = 0;
    for (size_t i = 0; i < 3; ++i) {
      const auto byte = at + i < bytes.size()
                            ? static_cast<unsigned char>(bytes[at + i])
                            : static_cast<unsigned char>(0);
      group = group << 8U | byte;
    }
    for (size_t i = 0; i < 4; ++i) {
      const bool is_padding = at + i > bytes.size();
      text += is_padding ? '=' : kDigits[group >> (18 - 6 * i) & 63U];
    }
  }
  return text;
}

std::string Unescape(const std::string& text) {
  std::string result;
  for (size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      const std::string digits = text.substr(at + 1, 2);
      result += static_cast<char>(std::strtol(digits.c_str(), nullptr, 16));
      at += 2;
    } else {
      result += text[at];
    }
  }
  return result;
}

bool HasPrefix(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

HttpResponse JsonResponse(std::string body) {
  return {200, {{"Content-Type", "application/json"}}, std::move(body)};
}

}  // namespace

Store::Store(const std::string& ip, Options options, Record& record)
    : options_(options),
      record_(record),
      server_(ip, [this](const HttpRequest& request) {
        SleepUntil(NowMs() + kAnswerMs);
        return Handle(request);
      }) {}

void Store::Append(Change change) {
  const std::lock_guard<std::mutex> lock(mutex_);
  change.revision = ++revision_;
  change.time_ms = NowMs();
  change.created = created_.try_emplace(change.key, revision_).first->second;
  if (change.removed) created_.erase(change.key);
  history_.push_back(std::move(change));
  changed_.notify_all();
}

void Store::Put(const std::string& key, const std::string& value) {
  Append({key, value});
}

void Store::Remove(const std::string& key) {
  Change change;
  change.key = key;
  change.removed = true;
  Append(std::move(change));
}

Store::Items Store::ItemsAt(int64_t time_ms, int64_t& revision) const {
  Items items;
  for (const Change& change : history_) {
    if (change.time_ms > time_ms) break;
    revision = change.revision;
    if (change.removed) {
      items.erase(change.key);
    } else {
      items[change.key] = change;
    }
  }
  return items;
}

std::string Store::ToJson(const Change& change) {
  std::string text = "{\"key\":\"" + change.key +
                     "\",\"revision\":" + std::to_string(change.revision);
  if (change.removed) return text + ",\"removed\":true}";
  return text + ",\"value\":\"" + Base64(change.value) +
         "\",\"createRevision\":" + std::to_string(change.created) +
         ",\"lease\":0}";
}

HttpResponse Store::Handle(const HttpRequest& request) {
  if (HasPrefix(request.target, "/v1/kv-range")) return ReadRange(request);
  if (HasPrefix(request.target, "/v1/kv-watch")) return Watch(request);
  return {404, {}, ""};
}

HttpResponse Store::ReadRange(const HttpRequest& request) {
  const std::string prefix = Unescape(request.Parameter("prefix"));
  const std::string after = Unescape(request.Parameter("after"));
  const bool may_be_stale = request.Parameter("serializable") == "1";
  const int64_t lag =
      may_be_stale && !after.empty() ? options_.replica_lag_ms : 0;
  const std::lock_guard<std::mutex> lock(mutex_);
  int64_t revision = 100;
  const Items items = ItemsAt(NowMs() - lag, revision);
  std::string list;
  size_t count = 0;
  bool is_truncated = false;
  for (const auto& [key, item] : items) {
    if (!HasPrefix(key, prefix) || key <= after) continue;
    is_truncated = count == options_.items_per_page;
    if (is_truncated) break;
    ++count;
    list += (list.empty() ? "" : ",") + ToJson(item);
  }
  record_.Write("store: GET " + request.target + " -> " +
                std::to_string(count) + " items, truncated " +
                (is_truncated ? "true" : "false") + ", asOf " +
                std::to_string(revision));
  return JsonResponse("{\"items\":[" + list +
                      "],\"truncated\":" + (is_truncated ? "true" : "false") +
                      ",\"asOf\":" + std::to_string(revision) + "}");
}

HttpResponse Store::Watch(const HttpRequest& request) {
  const std::string prefix = Unescape(request.Parameter("prefix"));
  const int64_t after =
      std::strtoll(request.Parameter("after").c_str(), nullptr, 10);
  const auto wait = std::chrono::milliseconds(
      std::strtoll(request.Parameter("waitMs").c_str(), nullptr, 10));
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, wait, [&] { return revision_ > after; });
  std::string list;
  for (const Change& change : history_) {
    if (change.revision <= after || !HasPrefix(change.key, prefix)) continue;
    list += (list.empty() ? "" : ",") + ToJson(change);
  }
  return JsonResponse("{\"events\":[" + list +
                      "],\"asOf\":" + std::to_string(revision_) + "}");
}

}  // namespace cherrydyke::review
