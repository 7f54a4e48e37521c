#include "StandIns/StandInHttpServer.h"

namespace ragwortdeck {

namespace {

const char*
ReasonOf(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 429:
      return "Too Many Requests";
    default:
      return "Error";
  }
}

} // namespace

void
StandInReply::Send(int aStatus,
                   const QByteArray& aBody,
                   const char* aType) const
{
  if (!IsOpen()) {
    return;
  }
  mSocket->write("HTTP/1.1 " + QByteArray::number(aStatus) + " " +
                 ReasonOf(aStatus) + "\r\nContent-Type: " + aType +
                 "\r\nContent-Length: " + QByteArray::number(aBody.size()) +
                 "\r\n\r\n" + aBody);
}

void
StandInReply::Send(int aStatus, const QJsonObject& aBody) const
{
  Send(aStatus, QJsonDocument(aBody).toJson(QJsonDocument::Compact));
}

void
StandInReply::StartStream() const
{
  if (IsOpen()) {
    mSocket->write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n");
  }
}

void
StandInReply::SendChunk(const QByteArray& aData) const
{
  if (IsOpen()) {
    mSocket->write(QByteArray::number(aData.size(), 16) + "\r\n" + aData +
                   "\r\n");
  }
}

void
StandInReply::Drop() const
{
  if (mSocket) {
    mSocket->abort();
  }
}

bool
StandInHttpServer::handleRequest(const QHttpServerRequest& aRequest,
                                 QTcpSocket* aSocket)
{
  Handle(aRequest, StandInReply(aSocket));
  return true;
}

void
StandInHttpServer::missingHandler(const QHttpServerRequest&,
                                  QTcpSocket* aSocket)
{
  StandInReply(aSocket).Send(404, QJsonObject{ { "error", "not found" } });
}

} // namespace ragwortdeck
