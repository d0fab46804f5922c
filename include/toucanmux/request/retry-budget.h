#pragma once

#include <boost/container/small_vector.hpp>
#include <variant>

#include "toucanmux/core.h"

namespace toucanmux {

/// A request of the team starts.
struct request_counted {
  static constexpr std::string_view name = "request_counted";
  template <class Archive>
  void serialize(Archive&) {}
};

/// A request of the team asks for a retry.
struct retry_wanted {
  static constexpr std::string_view name = "retry_wanted";
  template <class Archive>
  void serialize(Archive&) {}
};

/// The retry may be sent; its token has been taken.
struct retry_allowed {
  static constexpr std::string_view name = "retry_allowed";
  template <class Archive>
  void serialize(Archive&) {}
};

/// The budget is used up: a retry would add load while the upstream fails.
struct retry_refused {
  static constexpr std::string_view name = "retry_refused";
  template <class Archive>
  void serialize(Archive&) {}
};

/// The retry budget of one team at one instance: a token bucket. Each
/// request adds a share of a token, and a small floor rate adds tokens over
/// time. The budget keeps retries from multiplying the load during a fault.
class retry_budget {
 public:
  struct settings {
    double share = 0.1;     ///< Retries earned by each request.
    double floor_rate = 1;  ///< Retries a second earned without requests.
    double capacity = 20;   ///< Maximum number of saved retries.

    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(share), CEREAL_NVP(floor_rate),
              cereal::make_nvp("most_saved", capacity));
    }
  };

  using event = std::variant<request_counted, retry_wanted>;
  using action = std::variant<retry_allowed, retry_refused>;
  using actions = boost::container::small_vector<action, 1>;

  retry_budget() : retry_budget(settings()) {}
  /// Starts with the tokens of one second at the floor rate.
  explicit retry_budget(const settings& values);

  actions step(instant now, const event& new_event);

  void count_request(instant now);
  /// True if a retry may be sent now; takes no token.
  bool may_retry(instant now);
  /// Takes the token of a retry that is sent.
  void count_retry(instant now);

 private:
  void refill(instant now);
  void add_tokens(double tokens);

  settings settings_;
  double tokens_;
  instant refilled_at_{};
};

}  // namespace toucanmux
