#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <cstdlib>
#include <iostream>
#include <string>

namespace {

/// RapidCheck's parameters in CI: the same cases every time. A longer run sets
/// RC_PARAMS itself, for example "seed=7 max_success=20000".
constexpr char kDefaultRapidCheckParams[] = "seed=20261204 max_success=150";

}  // namespace

// Runs every suite that the binary registers, or only the case named by the
// first argument, `cherrydyke::Suite::Case`; exits with 1 if a test failed.
int main(int argc, char** argv) {
  setenv("RC_PARAMS", kDefaultRapidCheckParams, 0);
  CppUnit::TextUi::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.setOutputter(
      new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
  const std::string only = argc > 1 ? argv[1] : "";
  return runner.run(only) ? 0 : 1;
}
