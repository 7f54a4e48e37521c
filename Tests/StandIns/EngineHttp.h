#pragma once

#include <QByteArray>
#include <QTcpSocket>

namespace ragwortdeck {

/// Writes a complete HTTP reply with a JSON body; the connection stays open.
inline void
WriteReply(QTcpSocket& aSocket, int aStatus, const QByteArray& aJson)
{
  aSocket.write("HTTP/1.1 " + QByteArray::number(aStatus) +
                " Status\r\nContent-Type: application/json\r\n"
                "Content-Length: " +
                QByteArray::number(aJson.size()) + "\r\n\r\n" + aJson);
}

/// Starts a reply of unknown length.
inline void
WriteStreamHead(QTcpSocket& aSocket)
{
  aSocket.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "Cache-Control: no-store\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
}

inline void
WriteChunk(QTcpSocket& aSocket, const QByteArray& aData)
{
  aSocket.write(QByteArray::number(aData.size(), 16) + "\r\n" + aData + "\r\n");
}

inline void
WriteStreamEnd(QTcpSocket& aSocket)
{
  aSocket.write("0\r\n\r\n");
}

} // namespace ragwortdeck
