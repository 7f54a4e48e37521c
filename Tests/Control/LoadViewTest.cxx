#include "Control/Fabric.h"
#include "Support/Section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

using namespace std::chrono_literals;

/// \brief How load reports reach the views of all hosts.
class LoadViewTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LoadViewTest);
  CPPUNIT_TEST(TestLoadsComeWithoutNewViews);
  CPPUNIT_TEST_SUITE_END();

  static bool All(const Fabric& aFabric,
                  const std::function<bool(const FabricHost&)>& aHolds)
  {
    return std::all_of(aFabric.mHosts.begin(), aFabric.mHosts.end(), aHolds);
  }

public:
  /// Guards against the cost of a whole view, with the whole table, for each
  /// load report: at 4,900 teams that took more than the 2.6% of a core that
  /// control may use.
  void TestLoadsComeWithoutNewViews()
  {
    const TargetId engine("engine-1");
    LoadReport report;
    report.mMemoryTokens = 1000;
    report.mReadyModels.emplace();
    Fabric fabric(5, 3, 1);
    fabric.mLoadOf = [&report](const TargetId&) -> Result<LoadReport> {
      return report;
    };
    fabric.Edit(1);
    fabric.StartAll();
    for (auto& host : fabric.mHosts) {
      host.mCore->OnHostList({ { "engine-1",
                                 HostRole::kEngine,
                                 "10.0.0.1:80",
                                 {},
                                 false,
                                 { ModelName("listed") },
                                 false } });
    }
    fabric.mTime.Advance(20s);
    std::vector<std::uint64_t> views;
    for (auto& host : fabric.mHosts) {
      views.push_back(host.mViews);
      host.mLoadUpdates = 0;
    }
    Section("each report arrives", [&] {
      for (std::uint32_t n = 1; n <= 10; ++n) {
        report.mRunning = n;
        fabric.mTime.Advance(3s);
        CPPUNIT_ASSERT(All(fabric, [&](const FabricHost& aHost) {
          return aHost.mView.mTargets.at(engine).mLoad.mRunning == n;
        }));
      }
    });
    Section("without a new view", [&] {
      for (std::size_t n = 0; n < fabric.mHosts.size(); ++n) {
        CPPUNIT_ASSERT_EQUAL(views[n], fabric.mHosts[n].mViews);
        CPPUNIT_ASSERT(fabric.mHosts[n].mLoadUpdates >= 10);
      }
    });
    Section("a model that became ready is in all views", [&] {
      report.mReadyModels->emplace_back("new");
      fabric.mTime.Advance(3s);
      CPPUNIT_ASSERT(All(fabric, [&](const FabricHost& aHost) {
        return aHost.mView.mTargets.at(engine).mModels == report.mReadyModels;
      }));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadViewTest);

} // namespace ragwortdeck
