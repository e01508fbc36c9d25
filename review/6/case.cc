// One machine of eight freezes for a moment while a searcher makes its usual
// pause. Consumers send queries over four shards with bodies; each run of a
// searcher is compared with the request that the consumer sent.

#include <signal.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "../fleet-2/fleet.h"

namespace review {
namespace {

constexpr int kHosts = 8;
constexpr int kShards = 10;
constexpr int kReplicas = 3;
constexpr int kConsumers = 10;
constexpr int kRounds = 24;
constexpr size_t kBodyBytes = 300;
constexpr Ms kPause{200};
constexpr Ms kFreezeAfter{15};
constexpr Ms kFreeze{140};

struct Sent {
  std::string target;
  std::string body;
  /// Status and times, for the record.
  std::string history;
};

std::string ShardName(int shard) { return "shard" + std::to_string(shard); }

std::string Config() {
  std::string names;
  std::string services;
  for (int shard = 0; shard < kShards; ++shard) {
    const std::string comma = shard == 0 ? "" : ",";
    names += comma + "\"" + ShardName(shard) + "\"";
    services += comma + "{\"name\":\"" + ShardName(shard) +
                "\",\"healthPath\":\"/health\",\"maxConns\":26,"
                "\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,"
                "\"warmupPerS\":0.0}";
  }
  return "{\"version\":7,\"routes\":[{\"name\":\"deposit-check\",\"host\":"
         "\"leno12.example\",\"prefix\":\"/deposits/\",\"type\":"
         "\"idempotent\",\"timeoutMs\":1200,\"targetLatencyMs\":120,"
         "\"priority\":2,\"fanout\":[" +
         names +
         "],\"attempts\":2,\"topK\":5,\"minCoverage\":0.75,"
         "\"allowedRegions\":[]}],\"services\":[" +
         services +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

class Case {
 public:
  Case(const std::string& record, std::string folder)
      : record_(record), folder_(std::move(folder)) {}

  int Run() {
    if (!StartAll()) {
      record_.Line("not started: an address is taken or a host is not ready");
      return 2;
    }
    std::vector<std::thread> consumers;
    for (int consumer = 0; consumer < kConsumers; ++consumer) {
      consumers.emplace_back([this, consumer] { Consume(consumer); });
    }
    // Longer than the window of the budget for repeats.
    std::this_thread::sleep_for(Ms(14'000));
    for (int round = 0; round < kRounds; ++round) {
      PlayRound(round);
      if (tiers_.front()->HasEnded()) {
        record_.Line("BROKEN: the process ended by itself");
        broken_ = true;
        break;
      }
    }
    stopping_ = true;
    for (std::thread& consumer : consumers) consumer.join();
    for (const std::string& id : concerned_) {
      record_.Line(id + " " + sent_[id].target + ", body \"" +
                   sent_[id].body.substr(0, 30) + "\": " + sent_[id].history);
    }
    record_.Line("sent " + std::to_string(last_id_) + ", answered 200 " +
                 std::to_string(answered_) + ", runs " + std::to_string(runs_) +
                 ", runs with another body " + std::to_string(changed_));
    std::printf("sent %d, answered 200 %d, runs %d, with another body %d\n",
                last_id_.load(), answered_.load(), runs_, changed_);
    if (answered_ == 0) return 2;
    return broken_ ? 1 : 0;
  }

 private:
  bool StartAll() {
    const std::string network = OwnNetwork();
    const std::vector<std::string> zones = {"medellin-a", "bogota-a", "cali-a"};
    Store::Options store;
    store.ip = network + "1.1";
    store_ = std::make_unique<Store>(store);
    if (!store_->is_listening()) return false;
    store_->Put("op/config", Config());
    for (int shard = 0; shard < kShards; ++shard) {
      for (int replica = 0; replica < kReplicas; ++replica) {
        Searcher::Options options;
        options.id =
            "i-" + std::to_string(shard) + "-" + std::to_string(replica);
        options.service = ShardName(shard);
        options.zone = zones[static_cast<size_t>(replica)];
        options.ip = network + "2." + std::to_string(searchers_.size() + 1);
        searchers_.push_back(std::make_unique<Searcher>(
            options, [this, id = options.id](const Searcher::Run& run) {
              OnRun(id, run);
            }));
        if (!searchers_.back()->is_listening()) return false;
        store_->Put("servers/" + options.id, searchers_.back()->Entry());
      }
    }
    for (int host = 0; host < kHosts; ++host) {
      Tier::Options options;
      options.name = "front-" + std::to_string(host);
      options.zone = zones[static_cast<size_t>(host) % zones.size()];
      options.ip = network + "0." + std::to_string(host + 1);
      options.seeds = {network + "0.1", network + "0.2", network + "0.3"};
      options.store = network + "1.1:8229";
      options.folder = folder_;
      tiers_.push_back(std::make_unique<Tier>(options));
      tiers_.back()->Start();
    }
    for (int wait = 0; wait < 100; ++wait) {
      size_t ready = 0;
      for (const auto& tier : tiers_) ready += tier->IsReady() ? 1 : 0;
      if (ready == tiers_.size()) return true;
      std::this_thread::sleep_for(Ms(100));
    }
    return false;
  }

  void Consume(int consumer) {
    std::unique_ptr<Socket> socket;
    while (!stopping_) {
      if (socket == nullptr) {
        socket = std::make_unique<Socket>();
        if (!socket->Connect(tiers_.front()->options().ip, Tier::kFrontPort)) {
          socket = nullptr;
          std::this_thread::sleep_for(Ms(50));
          continue;
        }
      }
      const std::string id = "c" + std::to_string(++last_id_);
      const std::string target = "/deposits/" + id;
      std::string body = id + " of consumer " + std::to_string(consumer) + " ";
      body.resize(kBodyBytes, '.');
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        sent_[id] = {target, body, record_.Now() + " sent"};
      }
      const bool written = socket->Write(
          "POST " + target +
          " HTTP/1.1\r\nHost: leno12.example\r\nCherrydyke-Request-Id: " + id +
          "\r\nCherrydyke-Deadline-Ms: 1200\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body);
      Message response;
      if (!written || !socket->Read(response, Ms(1500))) {
        record_.Line("consumer " + std::to_string(consumer) + " " + id +
                     ": no answer");
        socket = nullptr;
        continue;
      }
      if (response.SecondWord() == "200") ++answered_;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        sent_[id].history +=
            ", " + record_.Now() + " answered " + response.SecondWord();
      }
      if (response.SecondWord() != "200") {
        record_.Line("consumer " + std::to_string(consumer) + " " + id + ": " +
                     response.SecondWord());
      }
      std::this_thread::sleep_for(Ms(think_ms_));
    }
  }

  // A searcher of the last shard pauses; soon after, the host freezes.
  void PlayRound(int round) {
    const size_t paused =
        searchers_.size() - 1 - static_cast<size_t>(round % kReplicas);
    searchers_[paused]->Pause(kPause);
    std::this_thread::sleep_for(kFreezeAfter);
    record_.Line("round " + std::to_string(round) + ": " +
                 searchers_[paused]->options().id + " pauses for 200 ms" +
                 (HasTrouble() ? ", host 0 stands still for 140 ms" : ""));
    if (HasTrouble()) tiers_.front()->Signal(SIGSTOP);
    std::this_thread::sleep_for(kFreeze);
    if (HasTrouble()) tiers_.front()->Signal(SIGCONT);
    std::this_thread::sleep_for(Ms(1300));
  }

  void OnRun(const std::string& searcher, const Searcher::Run& run) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++runs_;
    const auto found = sent_.find(run.id);
    if (found != sent_.end()) {
      found->second.history += ", " + record_.Now() + " run by " + searcher;
    }
    if (found != sent_.end() && run.method == "POST" &&
        found->second.target == run.target && found->second.body == run.body) {
      return;
    }
    ++changed_;
    broken_ = true;
    concerned_.insert(run.id);
    concerned_.insert(run.body.substr(0, run.body.find(' ')));
    record_.Line("BROKEN: " + searcher + " ran " + run.method + " " +
                 run.target + " (id " + run.id + ") with the body \"" +
                 run.body.substr(0, 40) + "\"");
  }

  Record record_;
  const std::string folder_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Searcher>> searchers_;
  std::vector<std::unique_ptr<Tier>> tiers_;
  std::mutex mutex_;
  std::map<std::string, Sent> sent_;
  /// Requests that a run with another body concerns.
  std::set<std::string> concerned_;
  std::atomic<int> last_id_{0};
  std::atomic<int> answered_{0};
  std::atomic<bool> stopping_{false};
  std::atomic<bool> broken_{false};
  int runs_ = 0;
  int changed_ = 0;
  const int think_ms_ = 5;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  signal(SIGPIPE, SIG_IGN);
  review::Case test(argv[1], argv[2]);
  return test.Run();
}
