#include "toucanmux/proxy/list-confirmation.h"

#include <algorithm>

namespace toucanmux {

void list_confirmation::confirm(instant as_of) {
  confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, as_of) : as_of;
}

// A list of another version may lack the reader's changes.
void list_confirmation::confirm_report(const store_version& own,
                                       const store_version& reported,
                                       instant confirmed_at) {
  if (own == reported && own.revision != 0) confirm(confirmed_at);
}

// Before the first confirmation, a change may be of any age.
instant list_confirmation::changed_after(instant now) const {
  return confirmed_at_ ? std::min(*confirmed_at_, now) : instant{};
}

}  // namespace toucanmux
