#include "Support/TestCertificate.h"

#include <cppunit/TestAssert.h>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

namespace ragwortdeck {

void
WriteTestCertificate(const QString& aCertificate,
                     const QString& aKey,
                     const char* aName)
{
  const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(
    EVP_EC_gen("P-256"), EVP_PKEY_free);
  const std::unique_ptr<X509, decltype(&X509_free)> certificate(X509_new(),
                                                                X509_free);
  constexpr long kDay = 86'400;
  ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
  X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -kDay);
  X509_gmtime_adj(X509_getm_notAfter(certificate.get()), kDay);
  X509_set_pubkey(certificate.get(), key.get());
  auto* name = X509_get_subject_name(certificate.get());
  X509_NAME_add_entry_by_txt(name,
                             "CN",
                             MBSTRING_ASC,
                             reinterpret_cast<const unsigned char*>(aName),
                             -1,
                             -1,
                             0);
  X509_set_issuer_name(certificate.get(), name);
  X509_sign(certificate.get(), key.get(), EVP_sha256());
  const auto write = [](const QString& aFile, const auto& aWrite) {
    const std::unique_ptr<BIO, decltype(&BIO_free)> bio(
      BIO_new_file(aFile.toLocal8Bit().constData(), "w"), BIO_free);
    CPPUNIT_ASSERT_EQUAL(1, aWrite(bio.get()));
  };
  write(aCertificate,
        [&](BIO* aBio) { return PEM_write_bio_X509(aBio, certificate.get()); });
  write(aKey, [&](BIO* aBio) {
    return PEM_write_bio_PrivateKey(
      aBio, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
  });
}

} // namespace ragwortdeck
