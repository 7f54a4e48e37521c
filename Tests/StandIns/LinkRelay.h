#pragma once

#include "Core/Settings.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <list>
#include <memory>
#include <string>

namespace ragwortdeck {

/// What a link does with bytes of one direction.
enum class LinkMode : std::uint8_t
{
  kPass,
  /// Holds the bytes back without an error.
  kStall,
  /// Drops the bytes, as a one-way cut does; the connection is then useless
  /// but stays open.
  kDrop,
};

/// \brief Fault state of a link.
struct LinkState
{
  /// From the connecting side to the listening side.
  LinkMode mForward = LinkMode::kPass;
  LinkMode mBackward = LinkMode::kPass;
  std::chrono::milliseconds mDelay{ 0 };
  /// Closes open connections and refuses new ones.
  bool mRefuse = false;

  bool operator==(const LinkState&) const = default;
};

/// \brief A TCP connection path with faults, for tests: accepts connections
/// on one endpoint and forwards their bytes to another.
class LinkRelay : public QObject
{
public:
  LinkRelay(Endpoint aListen, Endpoint aTarget);
  ~LinkRelay() override;

  /// Returns the port, or 0 when the address is in use.
  std::uint16_t Listen();
  void SetState(const LinkState& aState);
  /// Closes the open connections; new ones are accepted.
  void CloseAll();
  const LinkState& State() const { return mState; }
  std::size_t OpenConnections() const { return mPairs.size(); }

private:
  struct Pair;

  void Accept();
  void Move(const std::shared_ptr<Pair>& aPair, bool aForward);
  void Write(const std::shared_ptr<Pair>& aPair,
             bool aForward,
             const QByteArray& aData);
  void Close(const std::shared_ptr<Pair>& aPair);

  Endpoint mListen;
  Endpoint mTarget;
  LinkState mState;
  QTcpServer mServer;
  std::list<std::shared_ptr<Pair>> mPairs;
};

} // namespace ragwortdeck
