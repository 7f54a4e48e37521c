#include "Core/Log.h"

#include <QCoreApplication>
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <iostream>

/// Runs all registered tests, or those below the path given as argument.
int
main(int argc, char** argv)
{
  QCoreApplication app(argc, argv);
  ragwortdeck::Log::Configure(ragwortdeck::LogLevel::kError,
                              ragwortdeck::LogFormat::kText);
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  result.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(result, argc > 1 ? argv[1] : "");
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  const bool ranAny = collector.runTests() > 0;
  return ranAny && collector.wasSuccessful() ? 0 : 1;
}
