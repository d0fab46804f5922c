#include "request/key-hash.h"

#include <QCryptographicHash>

namespace toucanmux {

std::string hash_key(std::string_view key) {
  QByteArrayView bytes(key.data(), static_cast<qsizetype>(key.size()));
  return QCryptographicHash::hash(bytes, QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

}  // namespace toucanmux
