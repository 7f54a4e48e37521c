#include "Core/KeyRing.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

namespace {

const SharedKey kOld{ "k1", "0123456789abcdef" };
const SharedKey kNew{ "k2", "fedcba9876543210" };

} // namespace

/// \brief Key ring: rotation keeps old signatures valid, forgeries fail.
class KeyRingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(KeyRingTest);
  CPPUNIT_TEST(TestRotation);
  CPPUNIT_TEST(TestForgedTokens);
  CPPUNIT_TEST(TestBadRings);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestRotation()
  {
    const auto before = KeyRing::Create({ kOld }).value();
    const auto during = KeyRing::Create({ kNew, kOld }).value();
    const auto after = KeyRing::Create({ kNew }).value();
    const auto token = before.IssueTeamToken("nakuru.branch");
    CPPUNIT_ASSERT_EQUAL(std::string("nakuru.branch"),
                         during.VerifyTeamToken(token).value());
    CPPUNIT_ASSERT(!after.VerifyTeamToken(token));
  }

  void TestForgedTokens()
  {
    const auto ring = KeyRing::Create({ kOld }).value();
    auto token = ring.IssueTeamToken("a");
    Section("another team's name under a valid signature", [&] {
      token.replace(0, 1, "b");
      CPPUNIT_ASSERT(!ring.VerifyTeamToken(token));
    });
    Section("text that is no token", [&] {
      for (const auto* text : { "", ".", "..", "a.b", ".k1.x", "a.k1." }) {
        CPPUNIT_ASSERT(!ring.VerifyTeamToken(text));
      }
    });
  }

  void TestBadRings()
  {
    CPPUNIT_ASSERT(!KeyRing::Create({}));
    CPPUNIT_ASSERT(!KeyRing::Create({ kOld, kOld }));
    CPPUNIT_ASSERT(!KeyRing::Create({ { "k", "short" } }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyRingTest);

} // namespace ragwortdeck
