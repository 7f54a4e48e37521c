#include "Platform/OneShotBody.h"

#include <algorithm>

namespace ragwortdeck {

qint64
OneShotBody::readData(char* aData, qint64 aMaxSize)
{
  const auto n = std::min<qint64>(aMaxSize, mBytes.size() - pos());
  if (n <= 0) {
    return -1;
  }
  mRead = true;
  std::copy_n(mBytes.constData() + pos(), n, aData);
  return n;
}

} // namespace ragwortdeck
