#pragma once

#include <optional>

#include "toucanmux/core.h"
#include "toucanmux/proxy/store-version.h"

namespace toucanmux {

/// Tracks the latest time as of which this instance's database list is known to
/// be current. A change that is learned later was made after that time, so time
/// limits that start with the change are counted from it.
class list_confirmation {
 public:
  /// The whole list was read.
  /// @param sent_at when the linearizable read was sent.
  void confirm_list(instant sent_at) { confirm(sent_at); }
  /// A watch was answered.
  /// @param sent_at when it was sent.
  /// @param waited the requested wait if it ended without changes, else 0.
  void confirm_watch(instant sent_at, duration waited) {
    confirm(sent_at + waited);
  }
  /// The domain reader reported its list.
  /// @param own the version of this instance's list.
  /// @param reported the version of the reader's list.
  /// @param confirmed_at when the reader's list is known to have been current.
  void confirm_report(const store_version& own, const store_version& reported,
                      instant confirmed_at);
  bool confirmed() const { return confirmed_at_.has_value(); }
  /// How long ago the list was last known to be current. Only for a confirmed
  /// list.
  duration age(instant now) const { return now - *confirmed_at_; }
  /// No later than the time of any change that is learned at `now`.
  instant changed_after(instant now) const;

 private:
  void confirm(instant as_of);

  std::optional<instant> confirmed_at_;
};

}  // namespace toucanmux
