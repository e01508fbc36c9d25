#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/resource.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "paced_connection.h"
#include "support/whole_path.h"
#include "wire/frame.h"

namespace cherrydyke {
namespace {

/// Memory of the smallest machine of the deployments' sheets.
constexpr size_t kMachineMemoryMb = 160;
constexpr size_t kBytesPerMb = 1U << 20U;
constexpr size_t kBytesPerKb = 1U << 10U;

constexpr int kCallers = 24;
constexpr size_t kBytesPerCaller = 16 * kBytesPerMb;
/// Callers who send no byte for so long wait for the host.
constexpr absl::Duration kStallTime = absl::Seconds(1);
constexpr absl::Duration kTick = absl::Milliseconds(1);
constexpr size_t kPieceBytes = 64 * kBytesPerKb;

/// Of the limit of a body, 1 MB.
constexpr size_t kLargeBodyBytes = 250'000;
constexpr int kCallersWithLargeBodies = 1500;

/// More than the daemons have threads for.
constexpr int kCallersBeyondThreads = 400;
/// Shorter than the time between two parts of a body may be.
constexpr absl::Duration kDripPeriod = absl::Seconds(1);

/// Where a frame has the length of its payload, in network byte order.
constexpr size_t kFrameLengthOffset = 8;
constexpr size_t kFrameHeaderBytes = 16;

/// Far above the time in which a process that lives answers on any machine.
constexpr absl::Duration kAnswerLimit = absl::Seconds(30);
constexpr absl::Duration kAttemptLimit = absl::Seconds(5);

constexpr char kChunked[] = "Transfer-Encoding: chunked\r\n";
constexpr char kHostId[] = "sofia-1";

std::string Header(const std::string& method, const std::string& path,
                   const std::string& fields) {
  return absl::StrCat(method, " ", path, " HTTP/1.1\r\nHost: h\r\n", fields,
                      "\r\n");
}

std::string LargeBodyHeader() {
  return Header("POST", "/v1/query",
                absl::StrCat("Content-Length: ", kLargeBodyBytes, "\r\n"));
}

/// @return the header of a valid frame whose payload has `payload_bytes`.
std::string FrameStart(size_t payload_bytes) {
  std::string start =
      EncodeFrame(Hello{"stranger", 1}).substr(0, kFrameHeaderBytes);
  const uint32_t length = htonl(static_cast<uint32_t>(payload_bytes));
  start.replace(kFrameLengthOffset, sizeof(length),
                reinterpret_cast<const char*>(&length), sizeof(length));
  return start;
}

/// @return about `bytes` of an unfinished gzip stream, of which each byte
/// stands for 158 zeros.
std::string CompressedZeros(size_t bytes) {
  // A block with fixed codes that starts with a zero, then goes back by one
  // byte and copies 258 bytes again and again.
  const std::string start = "01000110000";
  const std::string copy = "1100010100000";
  std::string stream("\x1f\x8b\x08\0\0\0\0\0\0\x03", 10);
  std::string bits = start;
  while (stream.size() < bytes) {
    while (bits.size() < 8) bits += copy;
    unsigned byte = 0;
    for (unsigned i = 0; i < 8; ++i) byte |= (bits[i] == '1' ? 1U : 0U) << i;
    stream += static_cast<char>(byte);
    bits.erase(0, 8);
  }
  return stream;
}

std::string Repeat(const std::string& text, size_t bytes) {
  std::string repeated;
  while (repeated.size() < bytes) repeated += text;
  return repeated;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

/// @return the most memory that a process has had resident, in bytes.
size_t PeakMemory(pid_t process) {
  const std::string status =
      ReadFile(absl::StrCat("/proc/", process, "/status"));
  constexpr char kField[] = "VmHWM:";
  const size_t at = status.find(kField);
  if (at == std::string::npos) return 0;
  std::istringstream text(status.substr(at + sizeof(kField) - 1));
  size_t kilobytes = 0;
  text >> kilobytes;
  return kilobytes * kBytesPerKb;
}

/// @return bytes that a port has received and its process has not read.
size_t UnreadBytes(const Endpoint& endpoint) {
  in_addr binary{};
  inet_pton(AF_INET, AddressOf(endpoint).c_str(), &binary);
  const std::string local =
      absl::StrCat(absl::Hex(binary.s_addr, absl::kZeroPad8), ":",
                   absl::Hex(PortOf(endpoint), absl::kZeroPad4));
  size_t sum = 0;
  for (absl::string_view line :
       absl::StrSplit(ReadFile("/proc/net/tcp"), '\n')) {
    const std::vector<std::string> fields =
        absl::StrSplit(line, ' ', absl::SkipEmpty());
    constexpr size_t kLocalAddress = 1;
    constexpr size_t kState = 3;
    constexpr size_t kQueues = 4;
    constexpr char kListening[] = "0A";
    if (fields.size() <= kQueues || fields[kState] == kListening) continue;
    if (!absl::EqualsIgnoreCase(fields[kLocalAddress], local)) continue;
    const std::vector<std::string> queues =
        absl::StrSplit(fields[kQueues], ':');
    sum += std::stoul(queues.at(1), nullptr, 16);
  }
  return sum;
}

size_t OpenDescriptors(pid_t process) {
  std::error_code ended;
  const std::filesystem::directory_iterator entries(
      absl::StrCat("/proc/", process, "/fd"), ended);
  return static_cast<size_t>(std::distance(begin(entries), end(entries)));
}

/// A caller who sends `piece` again and again, and reads nothing.
struct Sender {
  std::unique_ptr<PacedConnection> connection;
  std::string piece;
  size_t bytes_left = 0;
};

}  // namespace

/// The first version's daemons under crowds of callers who send without end, or
/// read no responses. They must live, stay within the memory of their machine
/// and answer an ordinary request beside the crowd.
class CrowdsWholePathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrowdsWholePathTest);
  CPPUNIT_TEST(EntryBodiesWithoutEnd);
  CPPUNIT_TEST(EntryBodiesWithoutLength);
  CPPUNIT_TEST(EntryChunkExtensionsWithoutEnd);
  CPPUNIT_TEST(EntryCompressedBodies);
  CPPUNIT_TEST(EntryHeadersWithoutEnd);
  CPPUNIT_TEST(EntryManyLargeBodies);
  CPPUNIT_TEST(EntrySlowBodiesOnAllThreads);
  CPPUNIT_TEST(EntryTrailersWithoutEnd);
  CPPUNIT_TEST(EntryUnreadResponsesOfMetrics);
  CPPUNIT_TEST(EntryUnreadResponsesOfReadiness);
  CPPUNIT_TEST(EntryUnreadResponsesOfUnknownPaths);
  CPPUNIT_TEST(GateBodiesWithoutEnd);
  CPPUNIT_TEST(GateBodiesWithoutLength);
  CPPUNIT_TEST(GateChunkExtensionsWithoutEnd);
  CPPUNIT_TEST(GateHeadersWithoutEnd);
  CPPUNIT_TEST(GateManyLargeBodies);
  CPPUNIT_TEST(GateSlowBodiesOnAllThreads);
  CPPUNIT_TEST(GateTrailersWithoutEnd);
  CPPUNIT_TEST(GateUnreadResponsesOfMetrics);
  CPPUNIT_TEST(LinkFramesWithoutEnd);
  CPPUNIT_TEST(LinkManyUnfinishedFrames);
  CPPUNIT_TEST(LinkUnreadPongs);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    RaiseDescriptorLimit();
    ClusterSpec spec = DeskSpec();
    spec.domains = {"Sofia"};
    spec.hosts_per_domain = 1;
    cluster_ = StartCluster(spec);
    CPPUNIT_ASSERT(WaitUntil([this] { return IsServed(); }));
  }

  void tearDown() override {
    senders_.clear();
    cluster_.reset();
  }

  void EntryTrailersWithoutEnd() { SendTrailers(EntryHttp()); }
  void GateTrailersWithoutEnd() { SendTrailers(GateHttp()); }
  void EntryChunkExtensionsWithoutEnd() { SendChunkExtensions(EntryHttp()); }
  void GateChunkExtensionsWithoutEnd() { SendChunkExtensions(GateHttp()); }
  void EntryBodiesWithoutEnd() { SendChunks(EntryHttp()); }
  void GateBodiesWithoutEnd() { SendChunks(GateHttp()); }
  void EntryBodiesWithoutLength() { SendWithoutLength(EntryHttp()); }
  void GateBodiesWithoutLength() { SendWithoutLength(GateHttp()); }
  void EntryHeadersWithoutEnd() { SendFields(EntryHttp()); }
  void GateHeadersWithoutEnd() { SendFields(GateHttp()); }
  void EntryManyLargeBodies() { SendLargeBodies(EntryHttp()); }
  void GateManyLargeBodies() { SendLargeBodies(GateHttp()); }
  void EntrySlowBodiesOnAllThreads() { DripBodies(EntryHttp()); }
  void GateSlowBodiesOnAllThreads() { DripBodies(GateHttp()); }
  void EntryUnreadResponsesOfMetrics() { SendAhead(EntryHttp(), "/metrics"); }
  void GateUnreadResponsesOfMetrics() { SendAhead(GateHttp(), "/metrics"); }
  void EntryUnreadResponsesOfReadiness() { SendAhead(EntryHttp(), "/readyz"); }
  void EntryUnreadResponsesOfUnknownPaths() {
    SendAhead(EntryHttp(), "/unknown");
  }

  void EntryCompressedBodies() {
    StartCrowd(EntryHttp(),
               Header("POST", "/v1/query",
                      absl::StrCat("Content-Encoding: gzip\r\nContent-Length: ",
                                   kLargeBodyBytes, "\r\n")) +
                   CompressedZeros(kLargeBodyBytes - 1),
               "", 0, kCallers);
    SendAll();
    Check(EntryHttp());
  }

  void LinkFramesWithoutEnd() {
    StartCrowd(GateLink(), FrameStart(kBytesPerCaller),
               std::string(kPieceBytes, 'x'), kBytesPerCaller - 1, kCallers);
    SendAll();
    Check(GateLink());
  }

  void LinkManyUnfinishedFrames() {
    StartCrowd(GateLink(), FrameStart(kLargeBodyBytes),
               std::string(kPieceBytes, 'x'), kLargeBodyBytes - 1,
               kCallersWithLargeBodies);
    SendAll();
    Check(GateLink());
  }

  void LinkUnreadPongs() {
    StartCrowd(GateLink(), EncodeFrame(Hello{"stranger", 1}),
               Repeat(EncodeFrame(Ping{1}), kPieceBytes), kBytesPerCaller,
               kCallers);
    SendAll();
    Check(GateLink());
  }

 private:
  static void RaiseDescriptorLimit() {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }

  Endpoint EntryHttp() const { return cluster_->EntryHttp(kHostId); }
  Endpoint GateHttp() const { return cluster_->GateHttp(kHostId); }
  Endpoint GateLink() const {
    return MakeEndpoint(cluster_->AddressOfHost(kHostId),
                        cluster_->gate_link_port());
  }

  void SendTrailers(const Endpoint& endpoint) {
    StartCrowd(
        endpoint, Header("POST", "/v1/query", kChunked) + "1\r\na\r\n0\r\n",
        Repeat("X-Trailer: abc\r\n", kPieceBytes), kBytesPerCaller, kCallers);
    SendAll();
    Check(endpoint);
  }

  void SendChunkExtensions(const Endpoint& endpoint) {
    StartCrowd(endpoint, Header("POST", "/v1/query", kChunked) + "1;x=",
               std::string(kPieceBytes, 'y'), kBytesPerCaller, kCallers);
    SendAll();
    Check(endpoint);
  }

  void SendChunks(const Endpoint& endpoint) {
    const std::string chunk =
        absl::StrCat("400\r\n", std::string(kBytesPerKb, 'x'), "\r\n");
    StartCrowd(endpoint, Header("POST", "/v1/query", kChunked),
               Repeat(chunk, kPieceBytes), kBytesPerCaller, kCallers);
    SendAll();
    Check(endpoint);
  }

  void SendWithoutLength(const Endpoint& endpoint) {
    StartCrowd(endpoint, Header("POST", "/v1/query", ""),
               std::string(kPieceBytes, 'x'), kBytesPerCaller, kCallers);
    SendAll();
    Check(endpoint);
  }

  void SendFields(const Endpoint& endpoint) {
    StartCrowd(endpoint, "GET /readyz HTTP/1.1\r\nHost: h\r\n",
               Repeat("X-Field: abc\r\n", kPieceBytes), kBytesPerCaller,
               kCallers);
    SendAll();
    Check(endpoint);
  }

  /// Callers leave the last byte of their bodies out.
  void SendLargeBodies(const Endpoint& endpoint) {
    StartCrowd(endpoint, LargeBodyHeader(), std::string(kPieceBytes, 'x'),
               kLargeBodyBytes - 1, kCallersWithLargeBodies);
    SendAll();
    Check(endpoint);
  }

  void DripBodies(const Endpoint& endpoint) {
    StartCrowd(endpoint, LargeBodyHeader(), "x", kLargeBodyBytes - 1,
               kCallersBeyondThreads);
    is_dripping_ = true;
    const absl::Time end = absl::Now() + 2 * kDripPeriod;
    while (absl::Now() < end) Tick();
    Check(endpoint);
    is_dripping_ = false;
  }

  /// Callers send requests ahead and read no response.
  void SendAhead(const Endpoint& endpoint, const std::string& path) {
    StartCrowd(endpoint, "", Repeat(Header("GET", path, ""), kPieceBytes),
               kBytesPerCaller, kCallers);
    SendAll();
    Check(endpoint);
  }

  void StartCrowd(const Endpoint& endpoint, const std::string& start,
                  const std::string& piece, size_t bytes, int callers) {
    for (int i = 0; i < callers; ++i) {
      Sender sender;
      sender.connection =
          PacedConnection::Open(AddressOf(endpoint), PortOf(endpoint));
      if (sender.connection == nullptr) continue;
      sender.connection->Queue(start);
      sender.piece = piece;
      sender.bytes_left = bytes;
      senders_.push_back(std::move(sender));
    }
  }

  // @return whether the caller could send something.
  static bool Send(Sender& sender) {
    PacedConnection& connection = *sender.connection;
    if (connection.is_all_sent() && sender.bytes_left > 0) {
      const size_t bytes = std::min(sender.bytes_left, sender.piece.size());
      connection.Queue(sender.piece.substr(0, bytes));
      sender.bytes_left -= bytes;
    }
    if (connection.is_all_sent() || connection.closed_by_peer()) return false;
    const absl::Time now = absl::Now();
    connection.Step(kPieceBytes, 0, now);
    return connection.last_sent_at() == now;
  }

  void Tick() {
    if (is_dripping_ && absl::Now() >= next_drip_) {
      next_drip_ = absl::Now() + kDripPeriod;
      for (Sender& sender : senders_) Send(sender);
    }
    absl::SleepFor(kTick);
  }

  // Returns when no caller can send any more.
  void SendAll() {
    absl::Time sent_at = absl::Now();
    while (absl::Now() - sent_at < kStallTime) {
      for (Sender& sender : senders_) {
        if (Send(sender)) sent_at = absl::Now();
      }
      Tick();
    }
  }

  // @return whether the start of a response with status 200 arrives.
  bool IsAnswered(const Endpoint& endpoint, const std::string& request) {
    auto caller = PacedConnection::Open(AddressOf(endpoint), PortOf(endpoint));
    if (caller == nullptr) return false;
    caller->Queue(request);
    constexpr char kOk[] = "HTTP/1.1 200 ";
    const absl::Time end = absl::Now() + kAttemptLimit;
    while (absl::Now() < end && !caller->closed_by_peer() &&
           caller->received().size() < sizeof(kOk)) {
      caller->Step(kPieceBytes, kPieceBytes, absl::Now());
      Tick();
    }
    return absl::StartsWith(caller->received(), kOk);
  }

  /// @return whether ordinary requests are served by the entry and the gate.
  bool IsServed() {
    const std::string query =
        R"({"entry":"desk","query":{"term":"a","every":16}})";
    return IsAnswered(
               EntryHttp(),
               Header("POST", "/v1/query",
                      absl::StrCat("Content-Length: ", query.size(), "\r\n")) +
                   query) &&
           IsAnswered(GateHttp(), Header("GET", "/livez", ""));
  }

  void Check(const Endpoint& endpoint) {
    Process& process = endpoint == EntryHttp() ? cluster_->entry(kHostId)
                                               : cluster_->gate(kHostId);
    const size_t unread = UnreadBytes(endpoint);
    const size_t memory = PeakMemory(process.pid());
    std::cerr << "crowds: peak " << memory / kBytesPerMb << " MB, unread "
              << unread / kBytesPerMb << " MB, "
              << OpenDescriptors(process.pid()) << " descriptors\n";
    CPPUNIT_ASSERT(process.IsRunning());
    CPPUNIT_ASSERT_MESSAGE(
        absl::StrCat("the process holds ", memory / kBytesPerMb,
                     " MB, and as unread bytes ", unread / kBytesPerMb, " MB"),
        memory + unread <= kMachineMemoryMb * kBytesPerMb);
    const absl::Time end = absl::Now() + kAnswerLimit;
    bool is_served = false;
    while (!is_served && absl::Now() < end) is_served = IsServed();
    CPPUNIT_ASSERT_MESSAGE("no ordinary request is served", is_served);
    CPPUNIT_ASSERT(process.IsRunning());
    CPPUNIT_ASSERT(PeakMemory(process.pid()) <= kMachineMemoryMb * kBytesPerMb);
  }

  std::unique_ptr<Cluster> cluster_;
  std::vector<Sender> senders_;
  bool is_dripping_ = false;
  absl::Time next_drip_ = absl::InfinitePast();
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrowdsWholePathTest);

}  // namespace cherrydyke
