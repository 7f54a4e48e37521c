#pragma once

#include "Core/QtScheduler.h"
#include "Core/RandomSource.h"
#include "Core/Settings.h"
#include "StandIns/EngineModel.h"

#include <QHttpServer>
#include <QNetworkAccessManager>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <list>
#include <memory>

namespace ragwortdeck {

/// What the stand-in does instead of sending an event.
enum class StreamFault : std::uint8_t
{
  kNone,
  /// Sends the event twice.
  kDuplicate,
  /// Leaves the event out.
  kSkip,
  /// Sends the next event first.
  kSwap,
  /// Closes the connection.
  kDrop,
  /// Sends nothing more and keeps the connection.
  kStall,
};

/// \brief HTTP side of the stand-in engine.
class EngineServer : public QObject
{
public:
  /// Chooses the fault for an event of a generation; aConnection counts the
  /// connections that have read the generation, from 1.
  using ChooseFault = std::function<StreamFault(const Generation&,
                                                std::int64_t aSequence,
                                                std::uint32_t aConnection)>;

  explicit EngineServer(EngineOptions aOptions);
  ~EngineServer() override;

  /// Returns the port, or 0 when the address is in use.
  std::uint16_t Listen(const Endpoint& aEndpoint);
  /// Refuses connections and drops open ones, as a dead process does.
  void Stop();
  void SetFaults(ChooseFault aChoose) { mChooseFault = std::move(aChoose); }
  /// Answers each POST /v1/responses with this status; 0 means normal.
  void SetRefusal(int aStatus) { mRefusal = aStatus; }
  /// Loads take their weights from there: GET /weights/<model>-<version>,
  /// again after a refusal.
  void SetWeightStore(const Endpoint& aWeightStore);
  EngineModel& Model() { return mModel; }

private:
  struct Reader
  {
    QPointer<QTcpSocket> mSocket;
    std::string mGeneration;
    std::int64_t mNext = 0;
    std::uint32_t mConnection = 1;
    bool mStalled = false;
  };

  void Handle(const QHttpServerRequest& aRequest, QTcpSocket& aSocket);
  void HandleCreate(const QHttpServerRequest& aRequest, QTcpSocket& aSocket);
  void HandleOrder(const QHttpServerRequest& aRequest, QTcpSocket& aSocket);
  void HandleResponse(const QHttpServerRequest& aRequest,
                      const QString& aId,
                      QTcpSocket& aSocket);
  void FetchWeights(const QUrl& aUrl, const std::function<void()>& aDone);
  void AddReader(Generation& aGeneration,
                 std::int64_t aNext,
                 QTcpSocket& aSocket);
  void Pump();
  /// Returns false when the reader is done.
  bool Pump(Reader& aReader);
  void Detach(const Reader& aReader);

  QtScheduler mScheduler;
  EngineModel mModel;
  ChooseFault mChooseFault;
  int mRefusal = 0;
  std::uint64_t mNextId = 1;
  std::list<Reader> mReaders;
  std::map<std::string, std::uint32_t> mConnections;
  std::unique_ptr<QHttpServer> mHttp;
  QNetworkAccessManager mNetwork;
  RandomSource mRandom{ 1 };
};

} // namespace ragwortdeck
