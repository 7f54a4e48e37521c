#pragma once

#include <QIODevice>

namespace ragwortdeck {

/// \brief Request body that can be sent once, and that tells whether any of
/// it may have left.
///
/// QNetworkAccessManager sends a request again by itself when a connection
/// closes without a reply. For a write that would apply it twice, or would
/// end as "connection refused" although the first sending took effect. This
/// device refuses to be rewound once it was read. Qt reads it only after the
/// connection is established, so an unread body proves that the service
/// cannot have applied the request.
class OneShotBody : public QIODevice
{
public:
  explicit OneShotBody(QByteArray aBytes, QObject* aParent = nullptr)
    : QIODevice(aParent)
    , mBytes(std::move(aBytes))
  {
    open(QIODevice::ReadOnly | QIODevice::Unbuffered);
  }

  bool MayHaveLeft() const { return mRead; }
  qint64 size() const override { return mBytes.size(); }
  bool isSequential() const override { return false; }
  bool seek(qint64 aPosition) override
  {
    return !mRead && QIODevice::seek(aPosition);
  }

protected:
  qint64 readData(char* aData, qint64 aMaxSize) override;
  qint64 writeData(const char*, qint64) override { return -1; }

private:
  QByteArray mBytes;
  bool mRead = false;
};

} // namespace ragwortdeck
