#include "process/recorder.h"

#include "toucanmux/error.h"

namespace toucanmux {

void recorder::start(const std::string& path) {
  file_.open(path, std::ios::trunc);
  if (!file_) {
    throw settings_error(path + ": can't be written: name another file");
  }
  active_ = true;
}

void recorder::write(const std::string& text) {
  std::lock_guard lock(mutex_);
  // Flushes, so that a killed process leaves complete records.
  file_ << text << std::flush;
}

recorder& process_recorder() {
  static recorder instance;
  return instance;
}

}  // namespace toucanmux
