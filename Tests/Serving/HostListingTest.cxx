#include "Serving/HostListing.h"
#include "Support/Section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>

namespace ragwortdeck {

using std::chrono::milliseconds;

namespace {

/// A fleet of aSize hosts in five failure domains, one in twenty of which has a
/// fast link.
std::vector<ListingCandidate>
MakeFleet(int aSize)
{
  std::vector<ListingCandidate> fleet;
  fleet.reserve(static_cast<std::size_t>(aSize));
  for (int i = 0; i < aSize; ++i) {
    fleet.push_back({ "10.0.0." + std::to_string(i),
                      "domain-" + std::to_string(i % 5),
                      i % 20 == 0 ? 200 : 20 });
  }
  return fleet;
}

std::vector<ListingCandidate>
Without(std::vector<ListingCandidate> aFleet, const ListingCandidate& aHost)
{
  std::erase(aFleet, aHost);
  return aFleet;
}

std::vector<ListingCandidate>
ListedOf(const std::vector<ListingCandidate>& aFleet)
{
  std::vector<ListingCandidate> listed;
  std::copy_if(aFleet.begin(),
               aFleet.end(),
               std::back_inserter(listed),
               [&](const ListingCandidate& aHost) {
                 return ShouldBeListed(aHost, Without(aFleet, aHost));
               });
  return listed;
}

} // namespace

/// \brief Tests which hosts are in the host list, and when a host asks others.
class HostListingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HostListingTest);
  CPPUNIT_TEST(TestListedHosts);
  CPPUNIT_TEST(TestSearch);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestListedHosts()
  {
    Section("as many hosts are listed in a fleet of 300 as in one of 30, some "
            "of each failure domain",
            [&] {
              for (const int size : { 30, 100, 300, 1100 }) {
                const auto listed = ListedOf(MakeFleet(size));
                CPPUNIT_ASSERT_EQUAL(std::size_t(10), listed.size());
                std::map<std::string, int> domains;
                for (const auto& it : listed) {
                  ++domains[it.mFailureDomain];
                }
                CPPUNIT_ASSERT_EQUAL(std::size_t(5), domains.size());
              }
            });
    Section("hosts with fast links go first", [&] {
      const auto listed = ListedOf(MakeFleet(300));
      CPPUNIT_ASSERT(
        std::any_of(listed.begin(), listed.end(), [](const auto& aHost) {
          return aHost.mLinkMbps == 200;
        }));
    });
    Section("when all listed hosts are lost, others take their places", [&] {
      auto fleet = MakeFleet(300);
      const auto listed = ListedOf(fleet);
      for (const auto& it : listed) {
        std::erase(fleet, it);
      }
      const auto next = ListedOf(fleet);
      CPPUNIT_ASSERT_EQUAL(std::size_t(10), next.size());
    });
    Section("a host that is alone is listed", [&] {
      CPPUNIT_ASSERT(ShouldBeListed({ "10.0.0.1", "a", 20 }, {}));
    });
  }

  void TestSearch()
  {
    Section(
      "when a whole fleet finds an empty list, few hosts enter themselves "
      "before the others can find them",
      [&] {
        // A call of the store and an introduction take less than this.
        constexpr milliseconds kVisibleAfter{ 30 };
        RandomSource random(7);
        for (const int size : { 1, 20, 300, 1100 }) {
          std::vector<Duration> delays;
          delays.reserve(static_cast<std::size_t>(size));
          for (int i = 0; i < size; ++i) {
            delays.push_back(FirstListingDelay(random));
          }
          const auto first = *std::min_element(delays.begin(), delays.end());
          const auto early =
            std::count_if(delays.begin(), delays.end(), [&](Duration aDelay) {
              return aDelay < first + kVisibleAfter;
            });
          CPPUNIT_ASSERT(early <= 5);
          CPPUNIT_ASSERT(*std::max_element(delays.begin(), delays.end()) <=
                         kMaxFirstListingDelay);
        }
      });
    Section("a host that hears from fewer hosts than another one asks it, but "
            "not again and again",
            [&] {
              CPPUNIT_ASSERT(NeedsIntroduction(290, 294, milliseconds(5000)));
              CPPUNIT_ASSERT(!NeedsIntroduction(290, 294, milliseconds(100)));
              CPPUNIT_ASSERT(!NeedsIntroduction(294, 294, milliseconds(5000)));
              CPPUNIT_ASSERT(!NeedsIntroduction(294, 200, milliseconds(5000)));
            });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostListingTest);

} // namespace ragwortdeck
