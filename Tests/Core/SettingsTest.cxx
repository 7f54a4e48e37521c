#include "Core/Settings.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

/// \brief Settings: every error of a file is reported at once, with its line.
class SettingsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(TestErrorsAreCollected);
  CPPUNIT_TEST(TestUnknownKeysAreErrors);
  CPPUNIT_TEST(TestBrokenYamlHasALine);
  CPPUNIT_TEST(TestEndpoints);
  CPPUNIT_TEST(TestAbsentSections);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestErrorsAreCollected()
  {
    auto settings =
      Settings::FromText("port: abc\nlimits:\n  idle_ms: -5\n", "a.yaml");
    {
      auto root = settings.Root();
      CPPUNIT_ASSERT_EQUAL(std::int64_t(80), root.Integer("port", 80, 1, 9));
      root.Section("limits").Milliseconds("idle_ms",
                                          std::chrono::milliseconds(7),
                                          std::chrono::milliseconds(1),
                                          std::chrono::milliseconds(9));
      root.RequiredString("host");
    }
    const auto errors = settings.Errors();
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), errors.size());
    Section("each error names its line and key", [&] {
      CPPUNIT_ASSERT_EQUAL(1, errors[0].mLine);
      CPPUNIT_ASSERT_EQUAL(
        std::string("a.yaml:3: limits.idle_ms: expected an integer from 1 to "
                    "9, found '-5'"),
        ToText(errors[2]));
    });
  }

  void TestUnknownKeysAreErrors()
  {
    auto settings = Settings::FromText("a: 1\nb: 2\n", "a.yaml");
    settings.Root().Integer("a", 0, 0, 9);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), settings.Errors().size());
    CPPUNIT_ASSERT_EQUAL(std::string("a.yaml:2: b: unknown key"),
                         ToText(settings.Errors()[0]));
  }

  void TestBrokenYamlHasALine()
  {
    const auto errors = Settings::FromText("a: [1,\n", "a.yaml").Errors();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), errors.size());
    CPPUNIT_ASSERT(errors[0].mLine > 0);
  }

  /// Guards against an exception for a section that the file leaves out.
  void TestAbsentSections()
  {
    auto settings = Settings::FromText("a: 1\n", "a.yaml");
    {
      auto root = settings.Root();
      root.Integer("a", 0, 0, 9);
      CPPUNIT_ASSERT_EQUAL(std::int64_t(4),
                           root.Section("b").Integer("c", 4, 0, 9));
      CPPUNIT_ASSERT(root.Sections("d").empty());
    }
    CPPUNIT_ASSERT(settings.Errors().empty());
  }

  void TestEndpoints()
  {
    auto settings = Settings::FromText(
      "a: 127.0.0.1:80\nb: '[::1]:81'\nc: example:80\n", "a.yaml");
    {
      auto root = settings.Root();
      CPPUNIT_ASSERT(root.RequiredEndpoint("a") ==
                     (Endpoint{ "127.0.0.1", 80 }));
      CPPUNIT_ASSERT_EQUAL(std::string("[::1]:81"),
                           ToText(root.RequiredEndpoint("b")));
      root.RequiredEndpoint("c");
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), settings.Errors().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace ragwortdeck
