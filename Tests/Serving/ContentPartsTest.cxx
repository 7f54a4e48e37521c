#include "Serving/ContentParts.h"
#include "Core/RandomSource.h"
#include "Support/Section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace ragwortdeck {

namespace {

constexpr std::size_t kPartBytes = 32768;

std::string
MakeContent(std::size_t aBytes)
{
  RandomSource random(3);
  std::string content(aBytes, ' ');
  for (auto& it : content) {
    it = static_cast<char>(random.Below(256));
  }
  return content;
}

} // namespace

/// \brief Tests contents that are too large for one datagram.
class ContentPartsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ContentPartsTest);
  CPPUNIT_TEST(TestAssembly);
  CPPUNIT_TEST(TestHostileParts);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestAssembly()
  {
    const auto content = MakeContent(200'000);
    auto parts = SplitContent(ContentKind::kTargetList, content, kPartBytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t(7), parts.size());
    Section("parts arrive in another order, one of them twice", [&] {
      ContentAssembler<TableVersion> assembler;
      std::reverse(parts.begin(), parts.end());
      for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        CPPUNIT_ASSERT(!assembler.Add("h1", { 9 }, parts[i]));
        CPPUNIT_ASSERT(!assembler.Add("h1", { 9 }, parts[i]));
      }
      CPPUNIT_ASSERT(assembler.Add("h1", { 9 }, parts.back()) == content);
    });
    Section("a part is lost: the content comes again, of a newer version", [&] {
      ContentAssembler<TableVersion> assembler;
      for (std::size_t i = 1; i < parts.size(); ++i) {
        CPPUNIT_ASSERT(!assembler.Add("h1", { 9 }, parts[i]));
      }
      std::optional<std::string> whole;
      for (const auto& part :
           SplitContent(ContentKind::kTargetList, content, kPartBytes)) {
        whole = assembler.Add("h1", { 10 }, part);
      }
      CPPUNIT_ASSERT(whole == content);
    });
    Section("a part of an older version is dropped", [&] {
      ContentAssembler<TableVersion> assembler;
      for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        CPPUNIT_ASSERT(!assembler.Add("h1", { 9 }, parts[i]));
      }
      CPPUNIT_ASSERT(!assembler.Add("h1", { 8 }, parts.back()));
      CPPUNIT_ASSERT(assembler.Add("h1", { 9 }, parts.back()) == content);
    });
    Section("parts of two senders are not mixed", [&] {
      ContentAssembler<TableVersion> assembler;
      for (std::size_t i = 0; i < parts.size(); ++i) {
        CPPUNIT_ASSERT(
          !assembler.Add(i % 2 == 0 ? "h1" : "h2", { 9 }, parts[i]));
      }
    });
  }

  void TestHostileParts()
  {
    ContentAssembler<TableVersion> assembler;
    Section("impossible numbers", [&] {
      for (const auto& part : { ContentPart{ 0, 0, 0, 0, "x" },
                                ContentPart{ 0, 0, -1, 2, "x" },
                                ContentPart{ 0, 0, 2, 2, "x" },
                                ContentPart{ 0, 0, 0, 1 << 30, "x" } }) {
        CPPUNIT_ASSERT(!assembler.Add("h", { 1 }, part));
      }
    });
    Section("a content beyond the limit is dropped", [&] {
      const std::string bytes(60000, 'x');
      for (int i = 0; i < ContentAssembler<TableVersion>::kMaxParts; ++i) {
        CPPUNIT_ASSERT(!assembler.Add(
          "h",
          { 1 },
          { 0, 0, i, ContentAssembler<TableVersion>::kMaxParts, bytes }));
      }
    });
    Section("after that a sound content is put together", [&] {
      CPPUNIT_ASSERT(assembler.Add("h", { 2 }, { 0, 0, 0, 1, "x" }) == "x");
    });
    Section("many senders: the oldest one is forgotten", [&] {
      for (int i = 0; i < 50; ++i) {
        CPPUNIT_ASSERT(
          !assembler.Add("s" + std::to_string(i), { 1 }, { 0, 0, 0, 2, "a" }));
      }
      CPPUNIT_ASSERT(!assembler.Add("s0", { 1 }, { 0, 0, 1, 2, "b" }));
      CPPUNIT_ASSERT(assembler.Add("s49", { 1 }, { 0, 0, 1, 2, "b" }) == "ab");
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ContentPartsTest);

} // namespace ragwortdeck
