#include <malloc.h>

#include <chrono>
#include <functional>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"
#include "bench/experiments.h"
#include "catalogue/host_list_store.h"
#include "entry/target_directory.h"
#include "kernel/registry.h"
#include "membership/peer_table.h"
#include "routing/query_run.h"
#include "shares/limit_shares.h"
#include "shares/target_leases.h"
#include "wire/frame.h"

namespace cherrydyke {
namespace {

constexpr int kDomains = 16;
/// Targets per entry host in the largest fleet, 16,000 targets to 2,900 hosts.
constexpr double kTargetsPerHost = 5.5;
constexpr absl::Duration kMinMeasurementTime = absl::Milliseconds(200);

// Repeats `work` for at least `kMinMeasurementTime`.
// @return mean time of one call in microseconds.
double MicrosecondsPerCall(const std::function<void()>& work) {
  int64_t repeats = 0;
  const absl::Time start = absl::Now();
  while (absl::Now() - start < kMinMeasurementTime) {
    work();
    ++repeats;
  }
  return absl::ToDoubleMicroseconds(absl::Now() - start) /
         static_cast<double>(repeats);
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

HostList MakeHostList(int hosts, Revision revision) {
  HostList list;
  list.revision = revision;
  const int targets = static_cast<int>(hosts * kTargetsPerHost);
  for (int h = 0; h < hosts; ++h) {
    list.hosts.push_back({absl::StrCat("host-", h), HostKind::kEntry,
                          absl::StrCat("domain-", h % kDomains),
                          absl::StrFormat("10.%d.%d.1", h / 250, h % 250),
                          HostState::kLive});
  }
  for (int t = 0; t < targets; ++t) {
    list.hosts.push_back({absl::StrCat("target-", t), HostKind::kTarget,
                          absl::StrCat("domain-", t % kDomains),
                          absl::StrFormat("10.%d.%d.2:9000", t / 250, t % 250),
                          HostState::kLive});
  }
  return list;
}

// @return the list with its first host replaced in the same failure domain.
HostList WithReplacement(HostList list, Revision revision) {
  list.revision = revision;
  list.hosts[0].id = absl::StrCat("host-new-", revision);
  return list;
}

Table MeasureHostList() {
  Table table("One host replaced: cost in each daemon by fleet size",
              {"entry hosts", "whole list us", "delta us", "directory us",
               "holdings us", "delta bytes", "list bytes", "heap bytes"});
  for (const int hosts : {180, 725, 1450, 2900}) {
    const HostList first = MakeHostList(hosts, 1);
    const double heap_before = HeapBytes();
    HostListStore store;
    store.ApplyFull(first);
    const double heap = HeapBytes() - heap_before;
    Revision revision = 1;
    const double full_apply_us = MicrosecondsPerCall(
        [&] { store.ApplyFull(WithReplacement(first, ++revision)); });
    HostListStore peer;
    peer.ApplyFull(*store.list());
    double delta_bytes = 0;
    const double delta_us = MicrosecondsPerCall([&] {
      const HostDelta change = [&] {
        store.ApplyFull(WithReplacement(first, ++revision));
        return store.DeltaSince(peer.revision());
      }();
      peer.ApplyDelta(change);
      if (delta_bytes == 0) {
        SyncReply reply;
        reply.hosts = change;
        delta_bytes = static_cast<double>(EncodeFrame(reply).size());
      }
    });
    const BootClock clock;
    TargetDirectory directory("domain-0", clock);
    directory.OnHosts(first);
    const double directory_us = MicrosecondsPerCall(
        [&] { directory.OnHosts(WithReplacement(first, ++revision)); });
    TargetLeases leases("host-16", "domain-0", {});
    const double leases_us = MicrosecondsPerCall([&] {
      leases.OnHostList(WithReplacement(first, ++revision), clock.Now());
    });
    SyncReply full_reply;
    full_reply.hosts = store.DeltaSince(0);
    table.AddRow(absl::StrCat(hosts),
                 {full_apply_us, delta_us - full_apply_us, directory_us,
                  leases_us, delta_bytes,
                  static_cast<double>(EncodeFrame(full_reply).size()), heap});
  }
  return table;
}

Table MeasureHeartbeats() {
  Table table(
      "One heartbeat received and one round sent, by daemons in the failure "
      "domain",
      {"daemons", "receive us", "round us", "sent a round", "bytes each",
       "heap bytes"});
  for (const int hosts : {3, 12, 45, 181}) {
    const double heap_before = HeapBytes();
    PeerTable peers({"h0", DaemonKind::kGate}, "domain", {});
    TargetLeases leases("h0", "domain", {});
    HostList list;
    list.revision = 1;
    for (int h = 0; h < hosts; ++h) {
      list.hosts.push_back({absl::StrCat("h", h), HostKind::kEntry, "domain",
                            "10.0.0.1", HostState::kLive});
    }
    peers.OnHostList(list);
    const BootClock clock;
    leases.OnHostList(list, clock.Now());
    std::vector<std::string> frames;
    for (int h = 1; h < hosts; ++h) {
      Heartbeat heartbeat;
      heartbeat.host = absl::StrCat("h", h);
      heartbeat.kind = DaemonKind::kGate;
      heartbeat.failure_domain = "domain";
      heartbeat.incarnation = 1;
      frames.push_back(EncodeFrame(heartbeat));
    }
    size_t next = 0;
    const double receive_us = MicrosecondsPerCall([&] {
      const Result<Message> message =
          DecodeFrame(frames[next++ % frames.size()]);
      const auto& heartbeat = std::get<Heartbeat>(GetValue(message));
      const absl::Time now = clock.Now();
      peers.OnHeartbeat(heartbeat, now);
      leases.OnPeerHeartbeat(heartbeat.host, heartbeat.incarnation, 1, 1, now,
                             now);
    });
    const double heap = HeapBytes() - heap_before;
    std::mt19937_64 random(1);
    size_t sent = 0;
    const double round_us = MicrosecondsPerCall([&] {
      sent = 0;
      for (const DaemonId& peer : peers.HeartbeatPeers(random)) {
        Heartbeat heartbeat;
        heartbeat.host = peer.host;
        EncodeFrame(heartbeat);
        ++sent;
      }
      peers.ShouldWatch(clock.Now());
    });
    table.AddRow(absl::StrCat(2 * hosts),
                 {receive_us, round_us, static_cast<double>(sent),
                  static_cast<double>(frames[0].size()), heap});
  }
  return table;
}

std::string EntryJson(int concurrency) {
  return absl::StrCat(
      R"({"owner":"cooperative","class":"coverage","kind":"query",)"
      R"("service":"desk","limits":{"rate_per_s":500,"concurrency":)",
      concurrency, "}}");
}

Table MeasureConfig() {
  Table table("One configuration change, by entries in effect",
              {"entries", "apply us", "bytes", "heap bytes"});
  for (const int entries : {100, 400, 1600, 6400}) {
    const double heap_before = HeapBytes();
    ConfigStore store;
    std::vector<ConfigChange> changes;
    for (int e = 0; e < entries; ++e) {
      changes.push_back({absl::StrCat("entries/e", e), e + 1, EntryJson(10)});
    }
    Revision revision = entries;
    store.Apply(changes, 0, revision);
    const double heap = HeapBytes() - heap_before;
    const double apply_us = MicrosecondsPerCall([&] {
      const Revision since = revision++;
      store.Apply({{"entries/e1", revision, EntryJson(11)}}, since, revision);
    });
    SyncReply reply;
    reply.changes = store.ChangesSince(revision - 1);
    table.AddRow(
        absl::StrCat(entries),
        {apply_us, static_cast<double>(EncodeFrame(reply).size()), heap});
  }
  return table;
}

class ReachableReplicaDirectory : public ReplicaDirectory {
 public:
  ReplicaView View(const TargetId& target) const override {
    ReplicaView view;
    view.target = target;
    return view;
  }
};

ShardMap MakeShardMap(int shards) {
  ShardMap map;
  map.version = 1;
  for (int s = 0; s < shards; ++s) {
    map.shards.push_back(
        {absl::StrCat("s", s),
         {absl::StrFormat("%04x", s * 65'536 / shards),
          s + 1 == shards ? ""
                          : absl::StrFormat("%04x", (s + 1) * 65'536 / shards)},
         {absl::StrCat("a", s), absl::StrCat("b", s)}});
  }
  return map;
}

Table MeasureQueries() {
  Table table("Decisions and messages of one query, by shards",
              {"shards", "decide us", "per shard us", "batch bytes/shard",
               "codec us/shard"});
  RegisterReplicaPickers();
  const auto picker = Registry<ReplicaPicker>::Get().Create("pick_of_two");
  const ReachableReplicaDirectory directory;
  for (const int shards : {17, 35, 70, 140, 280}) {
    const ShardMap map = MakeShardMap(shards);
    RatioBudget hedges(0.04, 10);
    RatioBudget retries(0.1, 10);
    uint64_t attempts = 0;
    const absl::Time now = absl::Now();
    const double decide_us = MicrosecondsPerCall([&] {
      QueryRun run({{1, 41},
                    map,
                    EntryClass::kLatency,
                    CanaryMode::kNever,
                    now + absl::Seconds(1),
                    now + absl::Seconds(1)},
                   {directory, *picker, hedges, retries, absl::Milliseconds(20),
                    [&attempts] {
                      return AttemptId{1, ++attempts};
                    }},
                   1);
      const QueryActions start = run.Start(now);
      for (const Dispatch& dispatch : start.send) {
        SubRequestReply reply;
        reply.attempt = dispatch.attempt;
        reply.shard = map.shards[dispatch.shard_index].id;
        reply.index_version = 41;
        reply.complete = true;
        run.OnAnswer(reply, now);
        run.NextTimer();
      }
      run.TakeResult();
    });
    SubRequestBatch batch;
    for (const Shard& shard : map.shards) {
      batch.sub_requests.push_back(
          {{1, 1}, "target-12345", shard.id, shard.range, 1, 41});
    }
    const std::string frame = EncodeFrame(batch);
    const double codec_us =
        MicrosecondsPerCall([&] { DecodeFrame(EncodeFrame(batch)); });
    table.AddRow(
        absl::StrCat(shards),
        {decide_us, decide_us / shards,
         static_cast<double>(frame.size()) / shards, codec_us / shards});
  }
  return table;
}

Table MeasureShares() {
  Table table("Limit shares of 100 entries, by hosts that share them",
              {"hosts", "members change us", "admit us"});
  for (const int hosts : {8, 181, 725, 2900}) {
    std::vector<HostId> members;
    for (int h = 0; h < hosts; ++h) members.push_back(absl::StrCat("host-", h));
    absl::Time now = absl::Now();
    LimitShares shares("host-1", {});
    shares.SetMembers(members, now);
    for (int e = 0; e < 100; ++e) {
      shares.Configure(absl::StrCat("e", e), {1e9, 100'000}, now);
    }
    bool one_removed = false;
    const double change_us = MicrosecondsPerCall([&] {
      one_removed = !one_removed;
      std::vector<HostId> next = members;
      if (one_removed) next.pop_back();
      shares.SetMembers(std::move(next), now);
    });
    now += absl::Minutes(1);
    const double admit_us = MicrosecondsPerCall([&] {
      now += absl::Microseconds(10);
      const auto acquired = shares.TryAcquire("e1", absl::Seconds(1), now);
      if (const auto* unit = std::get_if<LimitShares::Unit>(&acquired)) {
        shares.Release("e1", *unit);
      }
    });
    table.AddRow(absl::StrCat(hosts), {change_us, admit_us});
  }
  return table;
}

}  // namespace

std::vector<Table> MeasureMicro() {
  std::vector<Table> tables;
  tables.push_back(MeasureHostList());
  tables.push_back(MeasureHeartbeats());
  tables.push_back(MeasureConfig());
  tables.push_back(MeasureQueries());
  tables.push_back(MeasureShares());
  return tables;
}

}  // namespace cherrydyke
