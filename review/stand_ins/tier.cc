#include "tier.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>
#include <utility>

namespace cherrydyke::review {
namespace {

constexpr char kProgram[] = "target/bin/cherrydyke-tier";
constexpr char kPolicy[] = "deploy/policy.toml";
constexpr char kTemplate[] = "deploy/tier.toml.template";
constexpr uint16_t kMetricsPort = 9464;
constexpr uint16_t kPortsPerHost = 4;
constexpr uint16_t kSeedPortOffset = 1;
constexpr int64_t kReadinessTimeoutMs = 500;
constexpr int64_t kStartTimeoutMs = 20'000;

/// Zones of the small site and their regions.
const std::vector<std::pair<std::string, std::string>> kZones = {
    {"medellin-a", "antioquia"},
    {"bogota-a", "cundinamarca"},
    {"cali-a", "valle"}};

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

void Replace(std::string& text, const std::string& from,
             const std::string& to) {
  for (size_t at = 0; (at = text.find(from, at)) != std::string::npos;
       at += to.size()) {
    text.replace(at, from.size(), to);
  }
}

}  // namespace

TierHost::TierHost(Options options, Record& record)
    : options_(std::move(options)), record_(record) {}

TierHost::~TierHost() {
  if (!IsRunning()) return;
  kill(process_, SIGKILL);
  waitpid(process_, nullptr, 0);
}

std::string TierHost::SettingsPath() const {
  return options_.folder + "/" + options_.id + ".toml";
}

void TierHost::WriteSettings() const {
  std::ostringstream text;
  text << std::ifstream(kTemplate).rdbuf();
  std::string settings = text.str();
  std::string regions;
  for (const auto& [zone, region] : kZones) {
    regions += Quoted(zone) + " = " + Quoted(region) + "\n";
  }
  const size_t begin = settings.find("{{#zones}}");
  const std::string end_mark = "{{/zones}}";
  const size_t end = settings.find(end_mark) + end_mark.size();
  settings.replace(begin, end - begin, regions);
  std::string seeds;
  for (const std::string& seed : options_.seeds) {
    seeds += (seeds.empty() ? "" : ",") + Quoted(seed);
  }
  const Bounds bounds;
  const std::vector<std::pair<std::string, std::string>> fields = {
      {"{{node|json}}", Quoted(options_.id)},
      {"{{zone|json}}", Quoted(options_.zone)},
      {"{{ip|json}}", Quoted(options_.ip)},
      {"{{ip}}", options_.ip},
      {"{{listen.front|json}}", Quoted(callers().ToString())},
      {"{{listen.ready|json}}", Quoted(readiness().ToString())},
      {"{{internalPorts.0}}", std::to_string(options_.first_port)},
      {"{{seeds|json}}", "[" + seeds + "]"},
      {"{{platform.address|json}}", Quoted(options_.store)},
      {"{{bounds.retryBudgetRatio}}", "0.2"},
      {"{{bounds.retryWindowS}}", "10"},
      {"{{bounds.retrySlack}}", "56"},
      {"{{bounds.warmupOverage}}", "1.5"},
      {"{{bounds.warmupSlack}}", "5"},
      {"{{bounds.graceS}}", std::to_string(bounds.grace_s)},
      {"{{#limits.memoryMb}}", ""},
      {"{{limits.memoryMb}}", "260"},
      {"{{/limits.memoryMb}}", ""},
      {"{{#limits.maxFds}}", ""},
      {"{{limits.maxFds}}", "4100"},
      {"{{/limits.maxFds}}", ""},
      {"{{#bounds.configApplyMs}}", ""},
      {"{{bounds.configApplyMs}}", std::to_string(bounds.config_apply_ms)},
      {"{{/bounds.configApplyMs}}", ""},
      {"{{#bounds.drainMs}}", ""},
      {"{{bounds.drainMs}}", std::to_string(bounds.drain_ms)},
      {"{{/bounds.drainMs}}", ""},
      {"{{#bounds.evacuateMs}}", ""},
      {"{{bounds.evacuateMs}}", std::to_string(bounds.evacuate_ms)},
      {"{{/bounds.evacuateMs}}", ""}};
  for (const auto& [field, value] : fields) Replace(settings, field, value);
  std::ofstream(SettingsPath()) << settings;
}

void TierHost::Start() {
  WriteSettings();
  const std::string log_path = options_.folder + "/" + options_.id + ".log";
  const std::string settings = "CHERRYDYKE_SETTINGS=" + SettingsPath();
  process_ = fork();
  if (process_ != 0) {
    record_.Write("host " + id() + " started as process " +
                  std::to_string(process_));
    return;
  }
  const int log =
      open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  for (int descriptor = 3; descriptor < 1024; ++descriptor) close(descriptor);
  const char* const arguments[] = {kProgram, "--policy", kPolicy, nullptr};
  const char* const environment[] = {settings.c_str(), "LANG=C", nullptr};
  execve(kProgram, const_cast<char**>(arguments),
         const_cast<char**>(environment));
  _exit(127);
}

void TierHost::Signal(int signal) {
  record_.Write("host " + id() + " gets signal " + std::to_string(signal));
  if (process_ > 0) kill(process_, signal);
}

bool TierHost::IsRunning() {
  if (process_ <= 0) return false;
  int status = 0;
  if (waitpid(process_, &status, WNOHANG) != process_) return true;
  record_.Write("host " + id() + " has ended, status " +
                std::to_string(status));
  process_ = 0;
  return false;
}

bool TierHost::IsReady() const {
  const HttpResult result =
      Fetch(readiness(), "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n",
            kReadinessTimeoutMs);
  return result.status == 200;
}

std::vector<std::unique_ptr<TierHost>> MakeHosts(
    const std::vector<std::string>& zones, const Address& store,
    const std::string& folder, Record& record) {
  std::random_device device;
  std::uniform_int_distribution<int> byte(2, 250);
  std::uniform_int_distribution<int> port(20'000, 30'000);
  std::vector<std::string> ips;
  uint16_t first_port = 0;
  bool is_free = false;
  while (!is_free) {
    const std::string network = "127." + std::to_string(byte(device)) + "." +
                                std::to_string(byte(device)) + ".";
    ips.clear();
    for (size_t index = 0; index < zones.size(); ++index) {
      ips.push_back(network + std::to_string(index + 1));
    }
    first_port = static_cast<uint16_t>(port(device));
    is_free = std::all_of(ips.begin(), ips.end(), [&](const auto& ip) {
      bool all = IsPortFree(ip, kMetricsPort);
      for (uint16_t offset = 0; offset < kPortsPerHost; ++offset) {
        all = all && IsPortFree(ip, static_cast<uint16_t>(first_port + offset));
      }
      return all;
    });
  }
  TierHost::Options options;
  options.first_port = first_port;
  options.store = store.ToString();
  options.folder = folder;
  for (size_t index = 0; index < std::min<size_t>(3, ips.size()); ++index) {
    options.seeds.push_back(ips[index] + ":" +
                            std::to_string(first_port + kSeedPortOffset));
  }
  std::vector<std::unique_ptr<TierHost>> hosts;
  for (size_t index = 0; index < zones.size(); ++index) {
    options.zone = zones[index];
    options.ip = ips[index];
    options.id = "front-" + zones[index] + "-" + std::to_string(index + 1);
    hosts.push_back(std::make_unique<TierHost>(options, record));
  }
  return hosts;
}

bool WaitUntilReady(const std::vector<std::unique_ptr<TierHost>>& hosts) {
  const int64_t until = NowMs() + kStartTimeoutMs;
  while (NowMs() < until) {
    if (std::all_of(hosts.begin(), hosts.end(),
                    [](const auto& host) { return host->IsReady(); })) {
      return true;
    }
    SleepUntil(NowMs() + 100);
  }
  return false;
}

void EndCase(std::vector<std::unique_ptr<TierHost>>& hosts, int result) {
  hosts.clear();
  _exit(result);
}

std::string ConfigJson(int version, const std::string& routes,
                       const std::vector<std::string>& services) {
  std::string list;
  for (const std::string& service : services) {
    list += (list.empty() ? "{\"name\":" : ",{\"name\":") + Quoted(service) +
            R"(,"healthPath":"/health","maxConns":51,"protocol":"h1",)" +
            R"("tls":false,"warmupS":3.0,"warmupPerS":0.0})";
  }
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes +
         "],\"services\":[" + list +
         R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)" +
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

std::string RouteJson(const std::string& name, const std::string& service,
                      const std::string& type, int64_t timeout_ms) {
  return "{\"name\":" + Quoted(name) + R"(,"host":"keg.example","prefix":)" +
         Quoted("/" + name + "/") + ",\"type\":" + Quoted(type) +
         ",\"timeoutMs\":" + std::to_string(timeout_ms) +
         R"(,"targetLatencyMs":300,"priority":2,"service":)" + Quoted(service) +
         R"(,"attempts":2,"allowedRegions":[]})";
}

std::string RequestText(const std::string& method, const std::string& path,
                        const std::string& id, int64_t deadline_ms) {
  const std::string length = method == "POST" ? "Content-Length: 0\r\n" : "";
  return method + " " + path + " HTTP/1.1\r\nHost: keg.example\r\n" +
         "Cherrydyke-Request-Id: " + id +
         "\r\nCherrydyke-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" +
         length + "\r\n";
}

}  // namespace cherrydyke::review
