#include "Filters/SiteViewHolder.h"

#include <urcu/urcu-memb.h>
#include <utility>

namespace ragwortdeck {

/// \brief The pointer that readers copy inside a read-side section.
struct SiteViewHolder::Box
{
  View mView;
};

RcuReaderThread::RcuReaderThread()
{
  urcu_memb_register_thread();
}

RcuReaderThread::~RcuReaderThread()
{
  urcu_memb_unregister_thread();
}

SiteViewHolder::SiteViewHolder(View aView)
  : mBox(new Box{ std::move(aView) })
{
}

SiteViewHolder::~SiteViewHolder()
{
  delete mBox;
}

SiteViewHolder::View
SiteViewHolder::Read() const
{
  urcu_memb_read_lock();
  auto view = static_cast<Box*>(rcu_dereference(mBox))->mView;
  urcu_memb_read_unlock();
  return view;
}

void
SiteViewHolder::Replace(View aView)
{
  auto* fresh = new Box{ std::move(aView) };
  auto* old = static_cast<Box*>(rcu_xchg_pointer(&mBox, fresh));
  urcu_memb_synchronize_rcu();
  delete old;
}

} // namespace ragwortdeck
