#pragma once

#include "Core/SiteView.h"

#include <memory>

namespace ragwortdeck {

/// \brief Registers the current thread as an RCU reader while it exists.
class RcuReaderThread
{
public:
  RcuReaderThread();
  ~RcuReaderThread();
  RcuReaderThread(const RcuReaderThread&) = delete;
  RcuReaderThread& operator=(const RcuReaderThread&) = delete;
};

/// \brief The site view in force. Any registered thread reads it without a
/// lock; one thread replaces it as a whole.
class SiteViewHolder
{
public:
  using View = std::shared_ptr<const SiteView>;

  explicit SiteViewHolder(View aView);
  ~SiteViewHolder();
  SiteViewHolder(const SiteViewHolder&) = delete;
  SiteViewHolder& operator=(const SiteViewHolder&) = delete;

  /// Never null. The thread must own an RcuReaderThread.
  View Read() const;
  /// Waits until no reader uses the old view's pointer.
  void Replace(View aView);

private:
  struct Box;
  Box* mBox;
};

} // namespace ragwortdeck
