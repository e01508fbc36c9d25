#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/blocking_counter.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "base/clock.h"
#include "base/invariant.h"
#include "bench/experiments.h"
#include "engine/connection_pool.h"
#include "engine/event_loop.h"
#include "engine/http_server.h"

namespace cherrydyke {
namespace {

constexpr int kExchanges = 40'000;
constexpr char kAddress[] = "127.0.0.1";
constexpr int kEventLoopPort = 17'560;
/// Size of one shard's response on production sites.
constexpr size_t kBodyBytes = 400;

absl::Duration ProcessCpuTime() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return absl::DurationFromTimeval(usage.ru_utime) +
         absl::DurationFromTimeval(usage.ru_stime);
}

int64_t ContextSwitches() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_nvcsw + usage.ru_nivcsw;
}

double ResidentKilobytes() {
  constexpr double kBytesPerKilobyte = 1024;
  // The second field of this file is the resident set size in pages.
  int64_t total_pages = 0;
  int64_t resident_pages = 0;
  std::ifstream("/proc/self/statm") >> total_pages >> resident_pages;
  CHERRYDYKE_INVARIANT(resident_pages > 0,
                       "/proc/self/statm reports the resident set size");
  return static_cast<double>(resident_pages * sysconf(_SC_PAGESIZE)) /
         kBytesPerKilobyte;
}

// Measures one server implementation, including its connection set-up.
class Measurement {
 public:
  Measurement() {
    // Returns free heap memory to the system; otherwise memory freed by an
    // earlier measurement would be reused and missing from this one's figure.
    malloc_trim(0);
    resident_kb_ = ResidentKilobytes();
    cpu_time_ = ProcessCpuTime();
    context_switches_ = ContextSwitches();
    start_ = absl::Now();
  }

  // Called after the last exchange, while all connections are still open.
  void AddRow(Table& table, const std::string& name, int connections) const {
    const absl::Duration elapsed = absl::Now() - start_;
    table.AddRow(
        absl::StrCat(name, ", ", connections),
        {absl::ToDoubleMilliseconds(ProcessCpuTime() - cpu_time_) / kExchanges,
         kExchanges / absl::ToDoubleSeconds(elapsed),
         static_cast<double>(ContextSwitches() - context_switches_) /
             kExchanges,
         (ResidentKilobytes() - resident_kb_) / connections});
  }

 private:
  double resident_kb_ = 0;
  absl::Duration cpu_time_;
  int64_t context_switches_ = 0;
  absl::Time start_;
};

// Client and server with a thread per connection.
void MeasureThreadPerConnection(Table& table, int connections) {
  const Measurement measurement;
  HttpServer::Options options;
  options.threads = connections;
  HttpServer server(options);
  server.Post("/search", [](const HttpRequest&) {
    HttpResponse response;
    response.body = std::string(kBodyBytes, 'r');
    return response;
  });
  const Result<int> port = server.Start(kAddress, 0);
  CHERRYDYKE_INVARIANT(GetError(port) == nullptr,
                       "the server listens on a free port");
  const std::string endpoint = absl::StrCat(kAddress, ":", GetValue(port));
  absl::BlockingCounter callers_in_progress(connections);
  absl::Notification measured;
  std::vector<std::thread> callers;
  for (int caller = 0; caller < connections; ++caller) {
    callers.emplace_back([&] {
      HttpClient client(endpoint);
      for (int i = 0; i < kExchanges / connections; ++i) {
        const auto outcome = client.Post("/search", "{}", {}, absl::Seconds(5));
        CHERRYDYKE_INVARIANT(std::holds_alternative<HttpReply>(outcome),
                             "every request is answered");
      }
      callers_in_progress.DecrementCount();
      measured.WaitForNotification();
    });
  }
  callers_in_progress.Wait();
  measurement.AddRow(table, "thread per connection", connections);
  measured.Notify();
  for (std::thread& caller : callers) caller.join();
  server.Stop();
}

// Client and server on one event loop.
void MeasureEventLoop(Table& table, int connections) {
  const Measurement measurement;
  const BootClock clock;
  engine::EventLoop loop(clock);
  engine::HttpServer server(
      loop, [] { return engine::ServerLimits(); },
      [](const std::shared_ptr<engine::ServerExchange>& exchange) {
        engine::HttpResponse response;
        response.status = 200;
        response.body = std::string(kBodyBytes, 'r');
        exchange->Respond(std::move(response));
      });
  const std::string endpoint = absl::StrCat(kAddress, ":", kEventLoopPort);
  const Status listening = server.Listen(endpoint);
  CHERRYDYKE_INVARIANT(GetError(listening) == nullptr, "the server listens");
  engine::ConnectionPool pool(loop, endpoint, engine::ClientOptions(),
                              connections, nullptr);
  int remaining_exchanges = kExchanges;
  int requests_in_flight = 0;
  std::function<void()> send = [&] {
    if (remaining_exchanges == 0) {
      if (requests_in_flight == 0) loop.Stop();
      return;
    }
    --remaining_exchanges;
    ++requests_in_flight;
    engine::PoolRequest request;
    request.exchange.write = [] {
      return "POST /search HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
    };
    request.exchange.done = [&](const engine::ExchangeResult& result) {
      CHERRYDYKE_INVARIANT(result.status == engine::ExchangeStatus::kComplete,
                           "every request is answered");
      --requests_in_flight;
      send();
    };
    pool.Send(std::move(request));
  };
  for (int i = 0; i < connections; ++i) send();
  loop.Run();
  measurement.AddRow(table, "event loop", connections);
}

}  // namespace

Table MeasureHttpPaths() {
  Table table(
      "One exchange with a response body of 400 bytes, client and server in "
      "one process, by keep-alive connections; resident memory per connection",
      {"path, connections", "processor ms", "exchanges/s", "switches",
       "resident KB"});
  for (const int connections : {1, 8, 32, 128}) {
    MeasureThreadPerConnection(table, connections);
    MeasureEventLoop(table, connections);
  }
  return table;
}

}  // namespace cherrydyke
