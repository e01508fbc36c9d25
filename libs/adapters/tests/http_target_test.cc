#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <thread>

#include "absl/strings/str_cat.h"
#include "adapters/target_protocol.h"
#include "base/clock.h"
#include "kernel/registry.h"
#include "support/raw_peers.h"

namespace cherrydyke {

/// A connection to a target that speaks HTTP.
class HttpTargetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpTargetTest);
  CPPUNIT_TEST(RefusalIsBelieved);
  CPPUNIT_TEST(ResponseWithAStatusThatTheProtocolLacksProvesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RefusalIsBelieved() {
    const TargetReply reply = Act("503");
    CPPUNIT_ASSERT(reply.outcome == AttemptOutcome::kShed);
    CPPUNIT_ASSERT(reply.not_run);
  }

  void ResponseWithAStatusThatTheProtocolLacksProvesNothing() {
    for (const char* status : {"000", "042", "099", "101", "600", "999"}) {
      const TargetReply reply = Act(status);
      CPPUNIT_ASSERT_MESSAGE(status,
                             reply.outcome == AttemptOutcome::kInvalidResponse);
      CPPUNIT_ASSERT(!reply.not_run);
    }
  }

 private:
  static TargetReply Act(const std::string& status) {
    const BootClock clock;
    engine::EventLoop loop(clock);
    const RawServer server(
        loop, [&](RawConnection& connection, const std::string&) {
          const std::string body = R"({"error":"shed","not_run":true})";
          connection.Write(absl::StrCat("HTTP/1.1 ", status,
                                        " X\r\nContent-Length: ", body.size(),
                                        "\r\n\r\n", body));
        });
    RegisterHttpTargetProtocol();
    const auto protocol = Registry<TargetProtocol>::Get().Create("http");
    TargetReply reply;
    std::thread caller([&] {
      reply = protocol->Open(server.endpoint(), "")
                  ->Act(TargetCall(), absl::Seconds(5));
      loop.Post([&loop] { loop.Stop(); });
    });
    RunUntilStopped(loop);
    caller.join();
    return reply;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTargetTest);

}  // namespace cherrydyke
