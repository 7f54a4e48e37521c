#pragma once

#include "Core/QtScheduler.h"
#include "Core/Settings.h"

#include <QByteArray>
#include <QHttpServer>
#include <QObject>
#include <QPointer>
#include <QTcpSocket>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace ragwortdeck {

/// \brief Behaviour of the stand-in order and stock service.
struct ServiceOptions
{
  /// Time from the receipt of a call to its reply.
  Duration mDelay{ 2'000 };
  /// Remembers idempotency keys: a repeat returns the first outcome, and
  /// GET with the key reports it. Otherwise each call runs again.
  bool mKnowsKeys = true;
};

/// \brief A plain service that counts how often each keyed call ran.
class ServiceServer : public QObject
{
public:
  explicit ServiceServer(ServiceOptions aOptions);

  /// Returns the port, or 0 when the address is in use.
  std::uint16_t Listen(const Endpoint& aEndpoint);
  void Stop();
  /// Runs a call but closes the connection instead of replying.
  void SetLosesReplies(bool aLoses) { mLosesReplies = aLoses; }
  /// Closes the connection of each of the next calls without running it.
  void SetDrops(int aCount) { mDrops = aCount; }
  /// Leaves each of the next look-ups without a reply, connected.
  void SetIgnores(int aCount) { mIgnores = aCount; }
  std::uint64_t Runs(const std::string& aKey) const;
  std::uint64_t LookUps() const { return mLookUps; }

private:
  void Handle(const QHttpServerRequest& aRequest, QTcpSocket& aSocket);
  void Run(const QString& aPath,
           const std::string& aKey,
           const QByteArray& aBody,
           QTcpSocket& aSocket);
  QByteArray RunsJson() const;

  QtScheduler mScheduler;
  ServiceOptions mOptions;
  bool mLosesReplies = false;
  int mDrops = 0;
  int mIgnores = 0;
  std::uint64_t mLookUps = 0;
  std::map<std::string, std::uint64_t> mRuns;
  std::map<std::string, QByteArray> mOutcomes;
  std::unique_ptr<QHttpServer> mHttp;
};

} // namespace ragwortdeck
