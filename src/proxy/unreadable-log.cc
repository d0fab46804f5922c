#include "proxy/unreadable-log.h"

#include "proxy/journal.h"

namespace toucanmux {

void unreadable_log::note(std::string_view kind, std::string_view name,
                          std::string_view reason) {
  if (logged_.size() >= max_sources) return;
  std::string source(kind);
  source += '/';
  source += name;
  if (!logged_.insert(std::move(source)).second) return;
  log_.write(journal_kind::belief, "unreadable_input",
             {{"kind", kind}, {"name", name}, {"reason", reason}});
}

}  // namespace toucanmux
