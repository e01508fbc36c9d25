#include "tier/compression.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>

#include "absl/strings/str_cat.h"

namespace cherrydyke {
namespace {

constexpr size_t kMaxBytes = 1U << 20U;

}  // namespace

class CompressionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CompressionTest);
  CPPUNIT_TEST(RoundTrips);
  CPPUNIT_TEST(ShrinksRoutes);
  CPPUNIT_TEST(RejectsTruncatedAndArbitraryBytes);
  CPPUNIT_TEST(RejectsWhatExpandsBeyondTheLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RoundTrips() {
    CPPUNIT_ASSERT(rc::check("any bytes, repeated", [] {
      const auto piece =
          *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
      std::string bytes;
      const int times = *rc::gen::inRange(0, 2000);
      for (int i = 0; i < times; ++i) bytes += piece;
      const auto result = Decompress(Compress(bytes), kMaxBytes);
      RC_ASSERT(GetError(result) == nullptr);
      RC_ASSERT(GetValue(result) == bytes);
    }));
  }

  void ShrinksRoutes() {
    std::string routes;
    for (int i = 0; i < 1000; ++i) {
      absl::StrAppend(&routes, R"({"name":"r)", i * 7919 % 1000,
                      R"(","host":"h)", i * 104729 % 997,
                      R"(.example","timeoutMs":1500,"attempts":2},)");
    }
    CPPUNIT_ASSERT(Compress(routes).size() * 4 < routes.size());
  }

  void RejectsTruncatedAndArbitraryBytes() {
    CPPUNIT_ASSERT(rc::check("truncated and arbitrary bytes", [] {
      const auto bytes =
          *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
      Decompress(bytes, kMaxBytes);
      const std::string whole = Compress(bytes);
      const size_t kept = *rc::gen::inRange<size_t>(0, whole.size());
      const auto result = Decompress(whole.substr(0, kept), kMaxBytes);
      RC_ASSERT(GetError(result) != nullptr);
    }));
  }

  void RejectsWhatExpandsBeyondTheLimit() {
    const std::string compressed = Compress(std::string(kMaxBytes, 'x'));
    CPPUNIT_ASSERT(GetError(Decompress(compressed, kMaxBytes)) == nullptr);
    CPPUNIT_ASSERT(GetError(Decompress(compressed, kMaxBytes - 1)) != nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompressionTest);

}  // namespace cherrydyke
