#pragma once

#include <memory>
#include <utility>

namespace ragwortdeck {

/// \brief Member of an object that hands out callbacks: a wrapped callback
/// does nothing once the object is destroyed.
class AliveToken
{
public:
  AliveToken()
    : mToken(std::make_shared<char>())
  {
  }
  AliveToken(const AliveToken&) = delete;
  AliveToken& operator=(const AliveToken&) = delete;

  template<typename F>
  auto Wrap(F aFunction) const
  {
    return [weak = std::weak_ptr<char>(mToken),
            function = std::move(aFunction)](auto&&... aValues) {
      if (!weak.expired()) {
        function(std::forward<decltype(aValues)>(aValues)...);
      }
    };
  }

private:
  std::shared_ptr<char> mToken;
};

} // namespace ragwortdeck
