#pragma once

#include <QByteArray>
#include <QTcpServer>
#include <QTcpSocket>
#include <string>
#include <vector>

namespace ragwortdeck {

/// \brief Server that sends the same bytes, which need not be an answer, to
/// each request as soon as its first bytes arrive, and ends the connection.
class RawServer
{
public:
  enum class Ending
  {
    kClose,
    kResetAtOnce,
    /// After a pause, in which the client acts on what it got.
    kResetLater,
    /// After the whole request has been read.
    kResetAfterUpload,
    /// Ends its own side, and reads what the client still sends.
    kCloseOneSide,
  };

  explicit RawServer(QByteArray aAnswer, Ending aEnding = Ending::kClose);

  void SetAnswer(QByteArray aAnswer) { mAnswer = std::move(aAnswer); }
  void SetEnding(Ending aEnding) { mEnding = aEnding; }
  std::uint16_t Port() const { return mServer.serverPort(); }
  /// "127.0.0.1:9001".
  std::string Address() const;
  std::string Url() const { return "http://" + Address() + "/"; }
  /// Connections on which a request has arrived.
  int Requests() const { return mRequests; }

private:
  void Serve(QTcpSocket& aSocket);
  void Answer(QTcpSocket& aSocket);

  QTcpServer mServer;
  QByteArray mAnswer;
  Ending mEnding;
  int mRequests = 0;
};

/// \brief When a connection is reset that carries an upload.
struct ResetCase
{
  const char* mName;
  RawServer::Ending mEnding;
  /// More than the kernel buffers, or so little that all of it has been
  /// written before the reset.
  std::size_t mUploadBytes;
};

const std::vector<ResetCase>&
ResetCases();

/// \brief An answer that is none, and what is wrong with it.
struct MalformedAnswer
{
  const char* mName;
  /// Its status line.
  QByteArray mStart;
  /// Lines of its head.
  QByteArray mFields;

  /// The answer, with aFields among its own and with aBody.
  QByteArray Bytes(const QByteArray& aFields, const QByteArray& aBody) const;
};

/// Answers whose status or head RFC 9110 and RFC 9112 do not permit.
const std::vector<MalformedAnswer>&
MalformedAnswers();

} // namespace ragwortdeck
