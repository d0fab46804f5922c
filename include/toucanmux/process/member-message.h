#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <variant>
#include <vector>

#include "toucanmux/process/member.h"

/// Payloads of membership datagrams.
namespace toucanmux {

/// The last known state of a member. Of two updates, the one with the greater
/// incarnation wins, then the greater refutation count, then the later state.
struct member_update {
  member info;
  /// How often the member refuted its suspicion or death.
  std::uint32_t refutations = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(cereal::make_nvp("who", info), CEREAL_NVP(refutations));
  }
};

/// A hash of the members of a failure domain that are not dead.
struct domain_digest {
  std::uint32_t domain = 0;  ///< Hash of the domain's name.
  std::uint32_t members_hash = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(domain), cereal::make_nvp("members", members_hash));
  }
};

/// A heartbeat that requests an `ack`.
struct ping {
  static constexpr std::string_view name = "ping";

  std::uint64_t sequence = 0;
  member_update self;
  std::string digest;  ///< The configuration digest; opaque to membership.
  std::vector<domain_digest> domains;
  std::vector<member_update> updates;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(sequence), CEREAL_NVP(self), CEREAL_NVP(digest),
            CEREAL_NVP(domains), CEREAL_NVP(updates));
  }
};

/// The reply to a `ping`, or a relay's notice that the probed member replied.
struct ack {
  static constexpr std::string_view name = "ack";

  std::uint64_t sequence = 0;
  /// The member that this message is about: the sender, or the member that the
  /// relay probed.
  member_id subject;
  std::string digest;
  std::vector<member_update> updates;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(sequence), cereal::make_nvp("about", subject),
            CEREAL_NVP(digest), CEREAL_NVP(updates));
  }
};

/// Asks a relay to ping a member that did not reply.
struct ping_request {
  static constexpr std::string_view name = "ping_request";

  std::uint64_t sequence = 0;
  member_id target;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(sequence), CEREAL_NVP(target));
  }
};

/// The sender's hashes of one domain by bucket, sent when the domain's digests
/// differ.
struct bucket_digests {
  static constexpr std::string_view name = "bucket_digests";

  std::uint32_t domain = 0;
  std::vector<std::uint32_t> buckets;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(domain), CEREAL_NVP(buckets));
  }
};

/// The members that the sender knows in some buckets of a domain.
struct bucket_members {
  static constexpr std::string_view name = "bucket_members";

  std::uint32_t domain = 0;
  /// Bit mask of the buckets whose members the receiver is asked to send.
  std::uint64_t requested_buckets = 0;
  std::vector<member_update> updates;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(domain), cereal::make_nvp("wanted", requested_buckets),
            CEREAL_NVP(updates));
  }
};

using member_message =
    std::variant<ping, ack, ping_request, bucket_digests, bucket_members>;

}  // namespace toucanmux
