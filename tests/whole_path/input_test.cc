#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <random>

#include "absl/strings/str_cat.h"
#include "support/whole_path.h"
#include "wire/frame.h"

namespace cherrydyke {
namespace {

constexpr int kRounds = 300;
constexpr int64_t kMaxRssGrowthKb = 20'000;

int64_t ResidentSetKb(pid_t pid) {
  std::ifstream status(absl::StrCat("/proc/", pid, "/status"));
  std::string field;
  int64_t value = 0;
  while (status >> field) {
    if (field == "VmRSS:") status >> value;
  }
  return value;
}

std::string RandomBytes(std::mt19937_64& random) {
  std::string bytes(random() % 600, '\0');
  for (char& byte : bytes) byte = static_cast<char>(random());
  return bytes;
}

// A valid frame with one byte overwritten and the checksum not recomputed.
std::string CorruptFrame(std::mt19937_64& random) {
  std::string frame = EncodeFrame(Hello{"stranger", 1});
  frame[random() % frame.size()] = static_cast<char>(random());
  return frame;
}

}  // namespace

// Invalid input is answered with an error or dropped and counted; it causes no
// crash and no memory leak.
class InputWholePathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InputWholePathTest);
  CPPUNIT_TEST(GarbageOnEveryPort);
  CPPUNIT_TEST(InvalidRequestsGetStatusAndReason);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GarbageOnEveryPort() {
    const auto cluster = StartCluster(OneHostSpec());
    const std::string address = cluster->AddressOfHost("sofia-1");
    std::mt19937_64 random(20261204);
    TcpConnector connector("127.0.0.1");
    const auto gossip = GetValue(UdpTransport::Open("127.0.0.1", 0));
    std::string other_version = EncodeFrame(Hello{"stranger", 1});
    other_version[5] = static_cast<char>(kProtocolVersion + 1);
    const pid_t gate = cluster->gate("sofia-1").pid();
    const pid_t entry = cluster->entry("sofia-1").pid();
    const int64_t before = ResidentSetKb(gate) + ResidentSetKb(entry);
    for (int round = 0; round < kRounds; ++round) {
      const std::string bytes = round % 3 == 0   ? RandomBytes(random)
                                : round % 3 == 1 ? CorruptFrame(random)
                                                 : other_version;
      for (int port = cluster->gate_link_port();
           port <= cluster->entry_gossip_port() + 1; ++port) {
        const Endpoint peer = MakeEndpoint(address, port);
        gossip->Send(peer, bytes);
        auto connected = connector.Connect(peer, absl::Seconds(1));
        auto* stream = std::get_if<std::unique_ptr<Stream>>(&connected);
        CPPUNIT_ASSERT(stream != nullptr);
        (*stream)->Write(bytes.data(), bytes.size());
      }
    }
    CPPUNIT_ASSERT(cluster->gate("sofia-1").IsRunning());
    CPPUNIT_ASSERT(cluster->entry("sofia-1").IsRunning());
    CPPUNIT_ASSERT(IsCompleteAndCorrect(SendQuery(*cluster), {"a", 16}));
    const int64_t after = ResidentSetKb(gate) + ResidentSetKb(entry);
    CPPUNIT_ASSERT(after - before < kMaxRssGrowthKb);
    CPPUNIT_ASSERT(WaitUntil([&] {
      const std::string metrics =
          cluster->Get(cluster->GateHttp("sofia-1"), "/metrics").text;
      return metrics.find("cherrydyke_link_faults_total") !=
                 std::string::npos &&
             metrics.find("cherrydyke_gossip_faults_total") !=
                 std::string::npos;
    }));
  }

  void InvalidRequestsGetStatusAndReason() {
    const auto cluster = StartCluster(OneHostSpec());
    const Endpoint http = cluster->EntryHttp("sofia-1");
    struct Case {
      std::string path;
      std::string body;
      int status;
      std::string reason;
    };
    const std::vector<Case> cases = {
        {"/v1/query", "{", 400, "malformed"},
        {"/v1/query", R"({"entry":"desk"})", 400, "malformed"},
        {"/v1/query", R"({"entry":"none","query":{}})", 404, "unknown_entry"},
        {"/v1/query", R"({"entry":"refund","query":{}})", 400,
         "wrong_entry_kind"},
        {"/v1/query", std::string(2 << 20, ' '), 413, "body_too_large"},
        {"/v1/query", std::string(100'000, '['), 400, "malformed"},
        {"/v1/tickets", R"({"entry":"desk","key":"a0"})", 400,
         "wrong_entry_kind"},
        {"/v1/actions", R"({"entry":"refund","key":"a0","ticket":"x"})", 400,
         "malformed_ticket"},
        {"/v1/actions",
         R"({"entry":"refund","key":"a0","ticket":"sofia-1.0000000000000001.0000000000000001"})",
         409, "unknown_ticket"},
        {"/v1/nothing", "{}", 404, "unknown_path"}};
    for (const Case& test_case : cases) {
      const HttpClient::Outcome outcome = HttpClient(http).Post(
          test_case.path, test_case.body, {}, absl::Seconds(5));
      const auto* reply = std::get_if<HttpReply>(&outcome);
      CPPUNIT_ASSERT(reply != nullptr);
      CPPUNIT_ASSERT_EQUAL(test_case.status, reply->status);
      CPPUNIT_ASSERT(reply->body.find("\"" + test_case.reason + "\"") !=
                     std::string::npos);
    }
    CPPUNIT_ASSERT(IsCompleteAndCorrect(SendQuery(*cluster), {"a", 16}));
  }

 private:
  static ClusterSpec OneHostSpec() {
    ClusterSpec spec = DeskSpec();
    spec.domains = {"Sofia"};
    spec.hosts_per_domain = 1;
    return spec;
  }

  static HttpJsonResponse SendQuery(Cluster& cluster) {
    return cluster.Query("sofia-1", "desk", {{"term", "a"}, {"every", 16}});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InputWholePathTest);

}  // namespace cherrydyke
