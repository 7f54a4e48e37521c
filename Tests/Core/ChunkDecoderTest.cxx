#include "Core/ChunkDecoder.h"
#include "Support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace ragwortdeck {

namespace {

using State = ChunkDecoder::State;

struct Decoded
{
  State mState = State::kReading;
  std::string mData;
  std::size_t mTaken = 0;
};

/// Decodes aBytes, of which aAtOnce arrive at a time.
Decoded
Decode(const std::string& aBytes,
       std::size_t aAtOnce,
       std::size_t aMaxLine = 64)
{
  ChunkDecoder decoder(aMaxLine);
  Decoded decoded;
  for (std::size_t at = 0; at < aBytes.size(); at += aAtOnce) {
    std::string_view rest = std::string_view(aBytes).substr(at, aAtOnce);
    while (!rest.empty() && decoder.Current() == State::kReading) {
      const auto step = decoder.Next(rest);
      decoded.mData += step.mData;
      decoded.mTaken += step.mTaken;
      rest.remove_prefix(step.mTaken);
    }
  }
  decoded.mState = decoder.Current();
  return decoded;
}

} // namespace

class ChunkDecoderTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ChunkDecoderTest);
  CPPUNIT_TEST(TestBodies);
  CPPUNIT_TEST(TestMalformed);
  CPPUNIT_TEST(TestLimits);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestBodies()
  {
    const std::string text =
      "5\r\nhello\r\n1;a=\"b\"\r\n \r\n0A ;x\r\n0123456789\r\n"
      "0\r\nX-Sum: 1\r\nY: 2\r\n\r\n";
    for (const std::size_t atOnce : { 1, 2, 3, 7, 1000 }) {
      Section(std::to_string(atOnce) + " bytes at once", [&] {
        Section("data without sizes, extensions and trailers", [&] {
          const auto decoded = Decode(text, atOnce);
          CPPUNIT_ASSERT(decoded.mState == State::kDone);
          CPPUNIT_ASSERT_EQUAL(std::string("hello 0123456789"), decoded.mData);
        });
        Section("an empty body", [&] {
          const auto decoded = Decode("0\r\n\r\n", atOnce);
          CPPUNIT_ASSERT(decoded.mState == State::kDone);
          CPPUNIT_ASSERT(decoded.mData.empty());
        });
        Section("what follows is not taken", [&] {
          const auto decoded = Decode(text + "GET / HTTP/1.1", atOnce);
          CPPUNIT_ASSERT(decoded.mState == State::kDone);
          CPPUNIT_ASSERT_EQUAL(text.size(), decoded.mTaken);
        });
        Section("no end without the last line", [&] {
          for (std::size_t n = 0; n < text.size(); ++n) {
            CPPUNIT_ASSERT(Decode(text.substr(0, n), atOnce).mState ==
                           State::kReading);
          }
        });
      });
    }
  }

  void TestMalformed()
  {
    for (const std::string text : { "\r\n",
                                    ";a\r\n",
                                    "g\r\n",
                                    "-1\r\n",
                                    "0x5\r\n",
                                    " 5\r\n",
                                    "5\nhello\r\n",
                                    "5\rhello\r\n",
                                    "5\r\nhello0\r\n",
                                    "5\r\nhello\n0\r\n",
                                    "10000000000000000\r\n",
                                    "1;\n\r\na\r\n",
                                    "0\r\n\n",
                                    "0\r\nX: 1\n\r\n",
                                    "0\r\n\rX" }) {
      Section(text, [&] {
        CPPUNIT_ASSERT(Decode(text, 1).mState == State::kMalformed);
        CPPUNIT_ASSERT(Decode(text, 100).mState == State::kMalformed);
      });
    }
  }

  void TestLimits()
  {
    const std::string fill(100, '0');
    Section("zeros before a size",
            [&] { CPPUNIT_ASSERT(Decode(fill, 1).mState == State::kTooLong); });
    Section("an extension", [&] {
      CPPUNIT_ASSERT(Decode("1;" + fill, 1).mState == State::kTooLong);
    });
    Section("a line of a trailer", [&] {
      CPPUNIT_ASSERT(Decode("0\r\nX: " + fill, 1).mState == State::kTooLong);
    });
    Section("many short lines of a trailer", [&] {
      std::string text = "0\r\n";
      for (int n = 0; n < 20; ++n) {
        text += "X: 1\r\n";
      }
      CPPUNIT_ASSERT(Decode(text, 1).mState == State::kTooLong);
    });
    Section("the data of all chunks", [&] {
      const auto decode = [](std::string_view aText) {
        ChunkDecoder decoder(64, 10);
        while (!aText.empty() && decoder.Current() == State::kReading) {
          aText.remove_prefix(decoder.Next(aText).mTaken);
        }
        return decoder.Current();
      };
      CPPUNIT_ASSERT(decode("4\r\nabcd\r\n6\r\nefghij\r\n0\r\n\r\n") ==
                     State::kDone);
      CPPUNIT_ASSERT(decode("4\r\nabcd\r\n7") == State::kTooLarge);
      CPPUNIT_ASSERT(decode("b") == State::kTooLarge);
      CPPUNIT_ASSERT(decode("ffffffffffffffff") == State::kTooLarge);
    });
    Section("each chunk has the limit of its own", [&] {
      std::string text;
      for (int n = 0; n < 20; ++n) {
        text += "1;" + std::string(50, 'e') + "\r\nx\r\n";
      }
      CPPUNIT_ASSERT(Decode(text + "0\r\n\r\n", 1).mState == State::kDone);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChunkDecoderTest);

} // namespace ragwortdeck
