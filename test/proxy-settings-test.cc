#define BOOST_TEST_MODULE proxy_settings
#include "proxy/proxy-settings.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <string>

#include "toucanmux/error.h"

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

const std::string valid_settings = R"(node_name = "edge-norte-1"
zone = "norte"
port_range = [7560,7575]
heartbeat_ms = 900
later_field = true
[listen]
frontend = "10.1.0.26:8465"
readiness = "10.1.0.26:8460"
[limits_cfg]
revoke_ms = 4000
[platform]
addr = "10.200.1.7:8466"
[provider]
addr = "10.200.0.2:8466"
)";

/// A settings file that is removed when the object is destroyed.
class temporary_file {
 public:
  explicit temporary_file(const std::string& text) {
    std::ofstream(path_) << text;
  }
  ~temporary_file() { std::remove(path_.c_str()); }
  temporary_file(const temporary_file&) = delete;
  temporary_file(temporary_file&&) = delete;
  temporary_file& operator=(const temporary_file&) = delete;
  temporary_file& operator=(temporary_file&&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_ = "/tmp/proxy-settings-" + std::to_string(getpid());
};

std::string error_message(const std::string& text) {
  temporary_file file(text);
  try {
    read_proxy_settings(file.path());
  } catch (const settings_error& e) {
    return e.what();
  }
  return "";
}

std::string without(const std::string& line) {
  auto text = valid_settings;
  auto line_start = text.find(line);
  text.erase(line_start, text.find('\n', line_start) - line_start + 1);
  return text;
}

}  // namespace

BOOST_AUTO_TEST_CASE(settings_are_read_and_unknown_fields_are_ignored) {
  temporary_file file(valid_settings);
  auto settings = read_proxy_settings(file.path());
  BOOST_TEST(settings.self.value == "edge-norte-1");
  BOOST_TEST(settings.domain.value == "norte");
  BOOST_TEST(to_text(settings.peer_address) == "10.1.0.26:7560");
  BOOST_TEST(to_text(settings.relay_address) == "10.1.0.26:7561");
  BOOST_TEST((settings.heartbeat_interval == 900ms));
  BOOST_TEST((settings.revocation_timeout == 4s));
  // Omitted settings get the strictest known values.
  BOOST_TEST((settings.drain_timeout == 7s));
  BOOST_TEST(settings.cpu_millicores == 1000U);
}

// Guards against a failover service that is trusted to reject stale tokens
// without having said so.
BOOST_AUTO_TEST_CASE(tokens_count_as_unchecked_unless_the_settings_say_so) {
  temporary_file file(valid_settings);
  BOOST_TEST(!read_proxy_settings(file.path()).tokens_checked);
  BOOST_TEST(!proxy_settings().tokens_checked);
  auto text = valid_settings;
  text.replace(text.find("revoke_ms"), 0, "fence_check = true\n");
  std::ofstream(file.path()) << text;
  BOOST_TEST(read_proxy_settings(file.path()).tokens_checked);
}

// Guards against listening on a port that belongs to another program.
BOOST_AUTO_TEST_CASE(a_range_of_one_port_has_no_relay_address) {
  auto text = valid_settings;
  text.replace(text.find("7575"), 4, "7560");
  temporary_file file(text);
  BOOST_TEST(read_proxy_settings(file.path()).relay_address.port == 0);
}

// Guards against further store calls of a deployment that drains no domains.
// Guards against a settings file whose numbers wrap around when they are
// converted: the process would listen elsewhere, or stop at once.
BOOST_AUTO_TEST_CASE(numbers_out_of_range_are_refused_or_reduced) {
  auto with = [](const std::string& line, const std::string& replacement) {
    auto out = valid_settings;
    out.replace(out.find(line), line.size(), replacement);
    return out;
  };
  BOOST_TEST(error_message(with("[7560,7575]", "[73096,73100]"))
                 .find("port_range[0]: give a port from 1 to 65535") !=
             std::string::npos);
  temporary_file last(with("[7560,7575]", "[65535,65540]"));
  BOOST_TEST(read_proxy_settings(last.path()).relay_address.port == 0U);
  temporary_file large(
      with("revoke_ms = 4000",
           "revoke_ms = 9223372036854775807\ngrace_s = 9223372036854775807"));
  auto settings = read_proxy_settings(large.path());
  BOOST_TEST((settings.revocation_timeout == 24h));
  BOOST_TEST((settings.shutdown_timeout > 24h));
}

BOOST_AUTO_TEST_CASE(the_settings_of_failure_domains_are_read) {
  temporary_file plain(valid_settings);
  auto settings = read_proxy_settings(plain.path());
  BOOST_TEST((settings.domain_drain_timeout == 0s));
  BOOST_TEST(settings.warm_up_excess == 1.5);
  BOOST_TEST(settings.warm_up_margin == 5);
  auto text = valid_settings;
  text.insert(0, "region = \"eu\"\n");
  text.insert(text.find("revoke_ms"),
              "evacuate_ms = 5000\ncold_excess = 2\ncold_margin = 0\n");
  temporary_file full(text + "[zones]\nsur = \"us\"\nwrong = 7\n");
  settings = read_proxy_settings(full.path());
  BOOST_TEST((settings.domain_drain_timeout == 5s));
  BOOST_TEST((settings.isolated_drain_timeout == 15s));
  BOOST_TEST(settings.warm_up_excess == 2);
  BOOST_TEST(settings.warm_up_margin == 0);
  BOOST_TEST(settings.regions.find(domain_id("sur")).value == "us");
  BOOST_TEST(settings.regions.find(domain_id("norte")).value == "eu");
  BOOST_TEST(settings.regions.find(domain_id("wrong")).empty());
}

BOOST_AUTO_TEST_CASE(the_cpu_quota_is_read_in_thousandths_of_a_core) {
  temporary_file file(valid_settings + "[limits]\ncpu_quota = 0.084\n");
  BOOST_TEST(read_proxy_settings(file.path()).cpu_millicores == 84U);
}

BOOST_AUTO_TEST_CASE(an_error_names_the_missing_field_and_the_remedy) {
  BOOST_TEST(error_message(without("node_name"))
                 .find("node_name: give a non-empty string") !=
             std::string::npos);
  BOOST_TEST(error_message(without("frontend")).find("listen.frontend") !=
             std::string::npos);
  BOOST_TEST(error_message(without("port_range")).find("port_range") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(invalid_toml_is_refused_with_its_line) {
  BOOST_TEST(error_message("a = 1\nb = \n").find(":2:") != std::string::npos);
  BOOST_CHECK_THROW(read_proxy_settings("/nowhere/at/all"), settings_error);
}
