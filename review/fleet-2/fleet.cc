#include "fleet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <sstream>

namespace review {
namespace {

constexpr size_t kReadBytes = 16384;
constexpr int kBacklog = 256;
constexpr Ms kIdleTimeout{60'000};

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

std::string Base64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t at = 0; at < bytes.size(); at += 3) {
    uint32_t group = 0;
    for (size_t i = 0; i < 3; ++i) {
      const uint32_t byte =
          at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0;
      group = group * 256 + byte;
    }
    const size_t digits = std::min<size_t>(3, bytes.size() - at) + 1;
    for (size_t i = 0; i < 4; ++i) {
      const uint32_t digit = (group >> (18U - 6U * i)) & 63U;
      text += i < digits ? kDigits[digit] : '=';
    }
  }
  return text;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string part =
        target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (part.compare(0, name.size() + 1, name + "=") == 0) {
      std::string value;
      for (size_t i = name.size() + 1; i < part.size(); ++i) {
        if (part[i] == '%' && i + 2 < part.size()) {
          value += static_cast<char>(
              std::strtol(part.substr(i + 1, 2).c_str(), nullptr, 16));
          i += 2;
        } else {
          value += part[i];
        }
      }
      return value;
    }
    at = end;
  }
  return "";
}

std::string JsonResponse(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

Record::Record(const std::string& path) : file_(path), start_(Clock::now()) {}

void Record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << Now() << " " << text << std::endl;
}

std::string Record::Now() const {
  const auto ms = std::chrono::duration_cast<Ms>(Clock::now() - start_);
  return std::to_string(ms.count()) + " ms";
}

std::string Message::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return "";
}

std::string Message::SecondWord() const {
  const size_t begin = start_line.find(' ') + 1;
  return start_line.substr(begin, start_line.find(' ', begin) - begin);
}

std::string Message::Method() const {
  return start_line.substr(0, start_line.find(' '));
}

Socket::Socket(int descriptor) : descriptor_(descriptor) {
  const int on = 1;
  setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Socket::~Socket() {
  if (descriptor_ >= 0) close(descriptor_);
}

bool Socket::Connect(const std::string& ip, int port) {
  descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in address = AddressOf(ip, port);
  return connect(descriptor_, reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)) == 0;
}

bool Socket::Listen(const std::string& ip, int port) {
  descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(ip, port);
  return bind(descriptor_, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0 &&
         listen(descriptor_, kBacklog) == 0;
}

int Socket::Accept() const {
  return accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
}

bool Socket::Write(const std::string& bytes) const {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(descriptor_, bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

bool Socket::Fill(Ms silence) {
  pollfd waiting = {descriptor_, POLLIN, 0};
  if (poll(&waiting, 1, static_cast<int>(silence.count())) <= 0) return false;
  char bytes[kReadBytes];
  const ssize_t count = recv(descriptor_, bytes, sizeof(bytes), 0);
  if (count <= 0) return false;
  input_.append(bytes, static_cast<size_t>(count));
  return true;
}

bool Socket::Read(Message& message, Ms silence) {
  message = {};
  size_t head_end = input_.find("\r\n\r\n");
  while (head_end == std::string::npos) {
    if (!Fill(silence)) return false;
    head_end = input_.find("\r\n\r\n");
  }
  std::istringstream head(input_.substr(0, head_end + 2));
  std::string line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (message.start_line.empty()) {
      message.start_line = line;
      continue;
    }
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
  }
  const size_t length = static_cast<size_t>(
      std::strtoul(message.Header("Content-Length").c_str(), nullptr, 10));
  const size_t body = head_end + 4;
  while (input_.size() < body + length) {
    if (!Fill(silence)) return false;
  }
  message.body = input_.substr(body, length);
  input_.erase(0, body + length);
  return true;
}

void Socket::Shutdown() const {
  if (descriptor_ >= 0) shutdown(descriptor_, SHUT_RDWR);
}

Server::Server(const std::string& ip, int port, Serve serve)
    : serve_(std::move(serve)) {
  is_listening_ = listener_.Listen(ip, port);
  if (!is_listening_) return;
  accepting_ = std::thread([this] {
    while (!stopping_) {
      const int descriptor = listener_.Accept();
      if (descriptor < 0) continue;
      const auto socket = std::make_shared<Socket>(descriptor);
      const std::lock_guard<std::mutex> lock(mutex_);
      open_.push_back(socket);
      threads_.emplace_back([this, socket] {
        serve_(*socket);
        socket->Shutdown();
      });
    }
  });
}

Server::~Server() {
  stopping_ = true;
  listener_.Shutdown();
  if (accepting_.joinable()) accepting_.join();
  Reset();
  for (std::thread& thread : threads_) thread.join();
}

void Server::Reset() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& socket : open_) socket->Shutdown();
}

Store::Store(Options options) : options_(std::move(options)) {
  server_ = std::make_unique<Server>(options_.ip, options_.port,
                                     [this](Socket& socket) { Serve(socket); });
}

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  server_.reset();
}

int64_t Store::Put(const std::string& key, const std::string& value) {
  return Write(key, value, false);
}

int64_t Store::Remove(const std::string& key) { return Write(key, "", true); }

int64_t Store::Write(const std::string& key, const std::string& value,
                     bool removed) {
  const std::lock_guard<std::mutex> lock(mutex_);
  items_[key].push_back({value, ++revision_, removed, Clock::now()});
  changed_.notify_all();
  return revision_;
}

void Store::Serve(Socket& socket) {
  Message request;
  while (socket.Read(request, kIdleTimeout)) {
    const std::string target = request.SecondWord();
    const std::string prefix = QueryValue(target, "prefix");
    std::string body;
    if (StartsWith(target, "/v1/kv-range")) {
      const bool is_stale = QueryValue(target, "serializable") == "1";
      body = Range(prefix, QueryValue(target, "after"),
                   Clock::now() - (is_stale ? options_.stale_by : Ms(0)));
    } else if (StartsWith(target, "/v1/kv-watch")) {
      body = Watch(prefix, NumberAfter(target, "after=", 0),
                   Ms(NumberAfter(target, "waitMs=", 1000)));
    }
    std::this_thread::sleep_for(options_.answer);
    if (!socket.Write(JsonResponse(body.empty() ? 404 : 200, body))) return;
  }
}

std::string Store::Range(const std::string& prefix, const std::string& after,
                         Clock::time_point until) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string list;
  int64_t as_of = 100;
  for (const auto& [key, versions] : items_) {
    const Item* item = nullptr;
    for (const Item& version : versions) {
      if (version.written_at > until) break;
      item = &version;
      as_of = std::max(as_of, version.revision);
    }
    if (item == nullptr || item->removed || !StartsWith(key, prefix) ||
        key <= after) {
      continue;
    }
    list += (list.empty() ? "" : ",") + std::string("{\"key\":\"") + key +
            "\",\"value\":\"" + Base64(item->value) +
            "\",\"revision\":" + std::to_string(item->revision) +
            ",\"createRevision\":" + std::to_string(versions[0].revision) +
            ",\"lease\":0}";
  }
  return "{\"items\":[" + list +
         "],\"truncated\":false,\"asOf\":" + std::to_string(as_of) + "}";
}

std::string Store::Watch(const std::string& prefix, int64_t after, Ms wait) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, wait, [&] { return stopping_ || revision_ > after; });
  std::string list;
  for (const auto& [key, versions] : items_) {
    const Item& item = versions.back();
    if (item.revision <= after || !StartsWith(key, prefix)) continue;
    list += (list.empty() ? "" : ",") + std::string("{\"key\":\"") + key +
            "\",\"revision\":" + std::to_string(item.revision);
    list += item.removed
                ? ",\"removed\":true}"
                : ",\"value\":\"" + Base64(item.value) +
                      "\",\"createRevision\":" + std::to_string(item.revision) +
                      ",\"lease\":0}";
  }
  return "{\"events\":[" + list + "],\"asOf\":" + std::to_string(revision_) +
         "}";
}

Searcher::Searcher(Options options, std::function<void(const Run&)> on_run)
    : options_(std::move(options)), on_run_(std::move(on_run)) {
  server_ = std::make_unique<Server>(options_.ip, options_.port,
                                     [this](Socket& socket) { Serve(socket); });
}

Searcher::~Searcher() { server_.reset(); }

std::string Searcher::Entry(const std::string& state) const {
  return "{\"service\":\"" + options_.service + "\",\"address\":\"" +
         options_.ip + ":" + std::to_string(options_.port) + "\",\"zone\":\"" +
         options_.zone + "\",\"version\":\"v1\",\"maxConcurrency\":" +
         std::to_string(options_.slots) + ",\"state\":\"" + state +
         "\",\"warmupLeftMs\":0,\"seq\":4}";
}

void Searcher::Pause(Ms time) {
  const std::lock_guard<std::mutex> lock(mutex_);
  paused_until_ = Clock::now() + time;
}

void Searcher::Serve(Socket& socket) {
  Message request;
  while (socket.Read(request, kIdleTimeout)) {
    if (!socket.Write(Answer(request))) return;
  }
}

std::string Searcher::Answer(const Message& request) {
  const std::string id = request.Header("Cherrydyke-Request-Id");
  const std::string echo = "Cherrydyke-Request-Id: " + id + "\r\n";
  if (request.Header("Cherrydyke-Expect-Instance") != options_.id) {
    return "HTTP/1.1 421 X\r\n" + echo +
           "Cherrydyke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }
  std::unique_lock<std::mutex> lock(mutex_);
  if (running_ >= options_.slots && waiting_ >= options_.queue) {
    return "HTTP/1.1 503 X\r\n" + echo +
           "Cherrydyke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }
  ++waiting_;
  while (true) {
    const auto now = Clock::now();
    if (now < paused_until_) {
      changed_.wait_until(lock, paused_until_);
    } else if (running_ >= options_.slots) {
      changed_.wait(lock);
    } else {
      break;
    }
  }
  --waiting_;
  ++running_;
  on_run_({id, request.Method(), request.SecondWord(), request.body});
  lock.unlock();
  std::this_thread::sleep_for(options_.work);
  lock.lock();
  while (Clock::now() < paused_until_) {
    changed_.wait_until(lock, paused_until_);
  }
  --running_;
  changed_.notify_all();
  const std::string stamp = options_.id + "." + std::to_string(++answers_);
  std::string records;
  for (char c = 'a'; c < 'f'; ++c) records += std::string(16, c);
  return "HTTP/1.1 200 OK\r\n" + echo + "Cherrydyke-Server-Stamp: " + stamp +
         "\r\nCherrydyke-Server-Load: " + std::to_string(running_) + "," +
         std::to_string(waiting_) + "," + std::to_string(options_.slots) +
         "\r\nKeep-Alive: timeout=60\r\nContent-Length: " +
         std::to_string(records.size()) + "\r\n\r\n" + records;
}

Tier::Tier(Options options) : options_(std::move(options)) {}

Tier::~Tier() { Kill(); }

void Tier::Start() {
  const std::string path = options_.folder + "/" + options_.name + ".toml";
  std::string seeds;
  for (const std::string& seed : options_.seeds) {
    seeds += (seeds.empty() ? "\"" : ",\"") + seed + ":8224\"";
  }
  std::ofstream(path)
      << "[host]\nid = \"" << options_.name << "\"\nfailure_domain = \""
      << options_.zone << "\"\naddress = \"" << options_.ip
      << "\"\n[regions]\n\"medellin-a\" = \"antioquia\"\n\"bogota-a\" = "
         "\"cundinamarca\"\n\"cali-a\" = \"valle\"\n[listen]\ncallers = \""
      << options_.ip << ":" << kFrontPort << "\"\nreadiness = \"" << options_.ip
      << ":" << kReadyPort << "\"\nmetrics = \"" << options_.ip
      << ":9464\"\n[fleet]\nport = 7740\nseeds = [" << seeds
      << "]\n[platform]\naddress = \"" << options_.store
      << "\"\n[limits]\nretry_ratio = 0.2\nretry_window_s = 10\n"
         "retry_slack = 56\nwarmup_overage = 1.5\nwarmup_slack = 5\n"
         "[machine]\nmemory_mb = 260\ndescriptors = 4100\n"
         "[shutdown]\ngrace_s = 6\n[change_deadlines]\nconfig_ms = 4000\n"
         "drain_ms = 4000\nevacuate_ms = 5000\n";
  const std::string log = options_.folder + "/" + options_.name + ".log";
  process_ = fork();
  if (process_ != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (std::freopen(log.c_str(), "a", stdout) == nullptr) _exit(126);
  setenv("CHERRYDYKE_SETTINGS", path.c_str(), 1);
  execl("target/bin/cherrydyke-tier", "target/bin/cherrydyke-tier", "--policy",
        "deploy/policy.toml", nullptr);
  _exit(127);
}

void Tier::Signal(int signal) const {
  if (process_ > 0) kill(process_, signal);
}

bool Tier::HasEnded() {
  if (process_ <= 0) return true;
  int status = 0;
  if (waitpid(process_, &status, WNOHANG) != process_) return false;
  process_ = -1;
  return true;
}

void Tier::Kill() {
  if (process_ <= 0) return;
  kill(process_, SIGCONT);
  kill(process_, SIGKILL);
  waitpid(process_, nullptr, 0);
  process_ = -1;
}

bool Tier::IsReady() const {
  Socket socket;
  Message response;
  return socket.Connect(options_.ip, kReadyPort) &&
         socket.Write("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
         socket.Read(response, Ms(500)) && response.SecondWord() == "200";
}

std::string OwnNetwork() {
  constexpr int kNetworks = 180;
  for (int attempt = 0; attempt < kNetworks; ++attempt) {
    const std::string network =
        "127." + std::to_string(60 + (getpid() + attempt) % kNetworks) + ".";
    Socket store;
    Socket host;
    if (store.Listen(network + "1.1", 8229) &&
        host.Listen(network + "0.1", Tier::kFrontPort)) {
      return network;
    }
  }
  return "127.60.";
}

bool HasTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

int64_t NumberAfter(const std::string& text, const std::string& name,
                    int64_t fallback) {
  const size_t at = text.find(name);
  if (at == std::string::npos) return fallback;
  return std::strtoll(text.c_str() + at + name.size(), nullptr, 10);
}

}  // namespace review
