#include "Support/RawServer.h"

#include <QTimer>
#include <chrono>
#include <cppunit/TestAssert.h>
#include <memory>
#include <sys/socket.h>

namespace ragwortdeck {

namespace {

constexpr int kBufferBytes = 4096;
constexpr std::chrono::milliseconds kPause{ 50 };

void
Reset(QTcpSocket& aSocket)
{
  const linger none{ 1, 0 };
  setsockopt(static_cast<int>(aSocket.socketDescriptor()),
             SOL_SOCKET,
             SO_LINGER,
             &none,
             sizeof(none));
  aSocket.abort();
}

/// Whether aRequest ends where its length says.
bool
IsWhole(const QByteArray& aRequest)
{
  const auto headEnd = aRequest.indexOf("\r\n\r\n");
  const auto head = aRequest.first(std::max<qsizetype>(headEnd, 0)).toLower();
  const QByteArray name = "content-length: ";
  const auto at = head.indexOf(name);
  if (headEnd < 0 || at < 0) {
    return headEnd >= 0;
  }
  const auto value = head.sliced(at + name.size());
  return aRequest.size() >=
         headEnd + 4 + value.first(value.indexOf('\r')).toLongLong();
}

} // namespace

RawServer::RawServer(QByteArray aAnswer, Ending aEnding)
  : mAnswer(std::move(aAnswer))
  , mEnding(aEnding)
{
  CPPUNIT_ASSERT(mServer.listen(QHostAddress::LocalHost));
  setsockopt(static_cast<int>(mServer.socketDescriptor()),
             SOL_SOCKET,
             SO_RCVBUF,
             &kBufferBytes,
             sizeof(kBufferBytes));
  QObject::connect(&mServer, &QTcpServer::newConnection, [this] {
    while (auto* socket = mServer.nextPendingConnection()) {
      Serve(*socket);
    }
  });
}

std::string
RawServer::Address() const
{
  return "127.0.0.1:" + std::to_string(Port());
}

void
RawServer::Serve(QTcpSocket& aSocket)
{
  aSocket.setReadBufferSize(kBufferBytes);
  const auto received = std::make_shared<QByteArray>();
  QObject::connect(
    &aSocket, &QTcpSocket::readyRead, [this, &aSocket, received] {
      const bool isFirst = received->isEmpty();
      const bool readsOn = mEnding == Ending::kResetAfterUpload ||
                           mEnding == Ending::kCloseOneSide;
      if (isFirst || readsOn) {
        *received += aSocket.readAll();
      }
      if (isFirst) {
        ++mRequests;
        Answer(aSocket);
      }
      if (mEnding == Ending::kResetAfterUpload && IsWhole(*received)) {
        Reset(aSocket);
      }
    });
  QObject::connect(
    &aSocket, &QTcpSocket::disconnected, &aSocket, &QObject::deleteLater);
}

void
RawServer::Answer(QTcpSocket& aSocket)
{
  aSocket.write(mAnswer);
  aSocket.flush();
  switch (mEnding) {
    case Ending::kClose:
      aSocket.disconnectFromHost();
      break;
    case Ending::kResetAtOnce:
      Reset(aSocket);
      break;
    case Ending::kResetLater:
      QTimer::singleShot(kPause, &aSocket, [&aSocket] { Reset(aSocket); });
      break;
    case Ending::kResetAfterUpload:
      break;
    case Ending::kCloseOneSide:
      shutdown(static_cast<int>(aSocket.socketDescriptor()), SHUT_WR);
      break;
  }
}

const std::vector<ResetCase>&
ResetCases()
{
  using Ending = RawServer::Ending;
  constexpr std::size_t kLong = 4'000'000;
  constexpr std::size_t kShort = 2'000;
  static const std::vector<ResetCase> sCases = {
    { "at once", Ending::kResetAtOnce, kLong },
    { "within the upload", Ending::kResetLater, kLong },
    { "after the upload", Ending::kResetAfterUpload, kLong },
    { "at once, request sent", Ending::kResetAtOnce, kShort },
    { "later, request sent", Ending::kResetLater, kShort },
  };
  return sCases;
}

QByteArray
MalformedAnswer::Bytes(const QByteArray& aFields, const QByteArray& aBody) const
{
  return mStart + "\r\n" + aFields + mFields + "\r\n" + aBody;
}

const std::vector<MalformedAnswer>&
MalformedAnswers()
{
  static const QByteArray sOk = "HTTP/1.1 200 OK";
  static const std::vector<MalformedAnswer> sAnswers = {
    { "status 000", "HTTP/1.1 000 Trouble", "" },
    { "status 001", "HTTP/1.1 001 Trouble", "" },
    { "status 020", "HTTP/1.1 020 Trouble", "" },
    { "status 099", "HTTP/1.1 099 Trouble", "" },
    { "status 600", "HTTP/1.1 600 Trouble", "" },
    { "status 999", "HTTP/1.1 999 Trouble", "" },
    { "status of two digits", "HTTP/1.1 20 OK", "" },
    { "status of four digits", "HTTP/1.1 2000 OK", "" },
    { "signed status", "HTTP/1.1 +20 OK", "" },
    { "status in letters", "HTTP/1.1 2OO OK", "" },
    { "two blanks before the status", "HTTP/1.1  200 OK", "" },
    { "no blank after the status", "HTTP/1.1 200", "" },
    { "change of protocol", "HTTP/1.1 101 Switching Protocols", "" },
    { "other version", "HTTP/2.0 200 OK", "" },
    { "other protocol", "RTSP/1.0 200 OK", "" },
    { "version in small letters", "http/1.1 200 OK", "" },
    { "control byte in the reason", "HTTP/1.1 200 O\001K", "" },
    { "blank in a name", sOk, "X Some: field\r\n" },
    { "blank after a name", sOk, "X-Some : field\r\n" },
    { "tab after a name", sOk, "X-Some\t: field\r\n" },
    { "blank before the length's colon", sOk, "Content-Length : 4\r\n" },
    { "tab in a name", sOk, "X\tSome: field\r\n" },
    { "control byte in a name", sOk, "X\001Some: field\r\n" },
    { "zero byte in a name", sOk, QByteArray("X\0Some: field\r\n", 15) },
    { "control byte after a name", sOk, "X-Some\x7f: field\r\n" },
    { "bracket in a name", sOk, "X(Some): field\r\n" },
    { "byte above ASCII in a name", sOk, "X\xe9: field\r\n" },
    { "empty name", sOk, ": field\r\n" },
    { "line without a colon", sOk, "X-Some field\r\n" },
    { "folded line", sOk, "X-Some: field\r\n more\r\n" },
    { "first line with a blank", sOk, " X-Some: field\r\n" },
    { "control byte in a value", sOk, "X-Some: fie\001ld\r\n" },
    { "zero byte in a value", sOk, QByteArray("X-Some: fie\0ld\r\n", 16) },
    { "carriage return in a value", sOk, "X-Some: fie\rld\r\n" },
    { "line feed alone", sOk, "X-Some: field\n" },
    { "length that is no number", sOk, "Content-Length: 4x\r\n" },
    { "signed length", sOk, "Content-Length: +4\r\n" },
    { "negative length", sOk, "Content-Length: -4\r\n" },
    { "empty length", sOk, "Content-Length:\r\n" },
    { "length beyond 64 bits",
      sOk,
      "Content-Length: 99999999999999999999\r\n" },
    { "list of lengths", sOk, "Content-Length: 4, 4\r\n" },
    { "two lengths", sOk, "Content-Length: 4\r\nContent-Length: 4\r\n" },
    { "unknown coding", sOk, "Transfer-Encoding: gzip\r\n" },
    { "length beside chunks",
      sOk,
      "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n" },
    { "chunks in HTTP/1.0",
      "HTTP/1.0 200 OK",
      "Transfer-Encoding: chunked\r\n" },
  };
  return sAnswers;
}

} // namespace ragwortdeck
