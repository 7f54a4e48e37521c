#pragma once

#include <cppunit/Exception.h>
#include <exception>
#include <functional>
#include <string>

namespace ragwortdeck {

/// Runs aBody as a named part of a test. Sections nest; a failure inside is
/// reported with the names of all enclosing sections.
inline void
Section(const std::string& aName, const std::function<void()>& aBody)
{
  try {
    aBody();
  } catch (CppUnit::Exception& failure) {
    auto message = failure.message();
    message.addDetail("in section: " + aName);
    throw CppUnit::Exception(message, failure.sourceLine());
  }
}

} // namespace ragwortdeck
