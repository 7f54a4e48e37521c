#pragma once

#include <QAbstractHttpServer>
#include <QHttpServerRequest>
#include <QJsonDocument>
#include <QJsonObject>
#include <QPointer>
#include <QTcpSocket>

namespace ragwortdeck {

/// \brief The connection on which one request of a stand-in is answered.
class StandInReply
{
public:
  explicit StandInReply(QTcpSocket* aSocket)
    : mSocket(aSocket)
  {
  }

  bool IsOpen() const { return mSocket && mSocket->isOpen(); }
  void Send(int aStatus,
            const QByteArray& aBody,
            const char* aType = "application/json") const;
  void Send(int aStatus, const QJsonObject& aBody) const;
  /// Starts a chunked reply with status 200.
  void StartStream() const;
  void SendChunk(const QByteArray& aData) const;
  /// Closes the connection without a reply.
  void Drop() const;

private:
  QPointer<QTcpSocket> mSocket;
};

/// \brief HTTP server of a stand-in; replies are written to the connection
/// directly, so that a test can delay, drop or stream them.
class StandInHttpServer : public QAbstractHttpServer
{
protected:
  virtual void Handle(const QHttpServerRequest& aRequest,
                      const StandInReply& aReply) = 0;

  bool handleRequest(const QHttpServerRequest& aRequest,
                     QTcpSocket* aSocket) override;
  void missingHandler(const QHttpServerRequest& aRequest,
                      QTcpSocket* aSocket) override;
};

} // namespace ragwortdeck
