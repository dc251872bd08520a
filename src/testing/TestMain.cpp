#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

// Runs every registered suite, or only the test whose path is the first
// argument. Ends with 1 if a test failed or none ran.
int main(int ArgumentCount, char **Arguments) {
  CppUnit::TestResult Controller;
  CppUnit::TestResultCollector Collector;
  CppUnit::BriefTestProgressListener Progress;
  Controller.addListener(&Collector);
  Controller.addListener(&Progress);
  CppUnit::TestRunner Runner;
  Runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  Runner.run(Controller, ArgumentCount > 1 ? Arguments[1] : "");
  CppUnit::CompilerOutputter Outputter(&Collector, std::cout);
  Outputter.write();
  const int Failed = Collector.testFailuresTotal();
  const int Run = Collector.runTests();
  std::cout << Run - Failed << " passed, " << Failed << " failed\n";
  return Run > 0 && Failed == 0 ? 0 : 1;
}
