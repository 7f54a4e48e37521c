#pragma once

#include <QString>

namespace ragwortdeck {

/// Writes a self-signed certificate with this name and its key as PEM files.
void
WriteTestCertificate(const QString& aCertificate,
                     const QString& aKey,
                     const char* aName);

} // namespace ragwortdeck
