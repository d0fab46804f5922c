#include "process/ctl-commands.h"

#include <QEventLoop>
#include <QNetworkReply>
#include <QRandomGenerator>
#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

#include "process/json-fields.h"
#include "request/key-hash.h"
#include "toucanmux/error.h"
#include "toucanmux/version/list-codec.h"

namespace toucanmux {

namespace {

constexpr std::size_t key_bytes = 24;
constexpr std::size_t hash_digits = 64;
constexpr std::string_view key_prefix = "tmx_";
constexpr int fetch_timeout_ms = 2000;

std::string read_file(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw list_error(path + ": can't be read: name an existing file");
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

std::string make_key() {
  QByteArray bytes(key_bytes, '\0');
  auto* system = QRandomGenerator::system();
  for (auto& byte : bytes) byte = static_cast<char>(system->bounded(256));
  auto text = bytes.toBase64(QByteArray::Base64UrlEncoding |
                             QByteArray::OmitTrailingEquals);
  return std::string(key_prefix) + text.toStdString();
}

bool is_hash(std::string_view text) {
  return text.size() == hash_digits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

}  // namespace

ctl_commands::ctl_commands(const endpoint& platform, std::ostream& out)
    : platform_(platform), out_(out) {}

std::string ctl_commands::usage() {
  return "COMMAND\n\n"
         "Commands:\n"
         "  apply plans FILE         check a list and activate it\n"
         "  apply teams FILE\n"
         "  put KIND KEY FILE        write an object, such as groups socios-1\n"
         "  show KIND                print the objects of a kind\n"
         "  issue-key TEAM           create a key; it is shown only once\n"
         "  withdraw-key KEY|HASH    revoke a key\n"
         "  status                   every process and its active versions\n"
         "  timeline [WORD...]       events of all processes in causal order";
}

exit_code ctl_commands::run(std::span<const std::string> words) {
  auto is = [&](std::string_view command, std::size_t arguments) {
    return !words.empty() && words[0] == command &&
           words.size() == arguments + 1;
  };
  if (is("apply", 2)) return apply(words[1], words[2]);
  if (is("put", 3)) return put_object(words[1], words[2], words[3]);
  if (is("show", 1)) return show(words[1]);
  if (is("issue-key", 1)) return issue_key(words[1]);
  if (is("withdraw-key", 1)) return withdraw_key(words[1]);
  if (is("status", 0)) return status();
  if (!words.empty() && words[0] == "timeline") {
    return timeline(words.subspan(1));
  }
  out_ << "no such command: see --help\n";
  return exit_code::usage;
}

exit_code ctl_commands::apply(const std::string& list,
                              const std::string& path) {
  if (list != "plans" && list != "teams") {
    out_ << "no such list: name plans or teams\n";
    return exit_code::usage;
  }
  auto text = read_file(path);
  check_list(list, text);
  return write(read("lists", list), text);
}

// Checks a list against the other list's active version.
void ctl_commands::check_list(const std::string& list,
                              const std::string& text) {
  auto other = read("lists", list == "plans" ? "teams" : "plans");
  bool found = other.result == read_result::found;
  if (list == "plans") {
    auto plans = parse_plan_list(text, 0);
    if (found) check_plans_in_use(plans, parse_team_list(other.value, 0));
    return;
  }
  if (!found) throw list_error("no plans are active: apply plans first");
  auto plans = parse_plan_list(other.value, 0);
  parse_team_list(text, 0, &plans);
}

exit_code ctl_commands::put_object(const std::string& kind,
                                   const std::string& key,
                                   const std::string& path) {
  auto text = read_file(path);
  if (kind == "groups") parse_database_group(text);
  return write(read(kind, key), text);
}

exit_code ctl_commands::show(const std::string& kind) {
  for (const auto& object : list(kind).objects) {
    out_ << object.kind << "/" << object.key << " version " << object.version
         << "\n"
         << object.value << "\n";
  }
  return exit_code::ok;
}

exit_code ctl_commands::issue_key(const std::string& team) {
  auto current = read("lists", "teams");
  auto teams = parse_team_list(current.value, current.version);
  auto team_entry =
      std::find_if(teams.teams.begin(), teams.teams.end(),
                   [&](const auto& one) { return one.id.value == team; });
  if (team_entry == teams.teams.end())
    throw list_error("no such team: " + team);
  auto key = make_key();
  team_entry->key_hashes.push_back(hash_key(key));
  auto code = write(current, to_json_text(teams));
  if (code == exit_code::ok) out_ << key << "\n";
  return code;
}

exit_code ctl_commands::withdraw_key(const std::string& key_or_hash) {
  auto hash = is_hash(key_or_hash) ? key_or_hash : hash_key(key_or_hash);
  auto current = read("lists", "teams");
  auto teams = parse_team_list(current.value, current.version);
  std::size_t removed = 0;
  for (auto& one : teams.teams) removed += std::erase(one.key_hashes, hash);
  if (removed == 0) throw list_error("no such key: it is not active");
  return write(current, to_json_text(teams));
}

exit_code ctl_commands::status() {
  for (const auto& object : list("instances").objects) {
    json_fields instance(object.value);
    if (!instance.is_object()) continue;
    endpoint admin{instance.text("address"), instance.port("admin_port")};
    auto page = fetch_page(admin, "/status");
    out_ << object.key << " " << (page.empty() ? "does not answer" : page)
         << "\n";
  }
  return exit_code::ok;
}

exit_code ctl_commands::timeline(std::span<const std::string> filters) {
  std::vector<std::pair<std::uint64_t, std::string>> lines;
  for (const auto& object : list("instances").objects) {
    json_fields instance(object.value);
    if (!instance.is_object()) continue;
    std::istringstream page(fetch_page(
        {instance.text("address"), instance.port("admin_port")}, "/timeline"));
    for (std::string line; std::getline(page, line);) {
      bool wanted =
          std::all_of(filters.begin(), filters.end(), [&](const auto& word) {
            return line.find(word) != std::string::npos;
          });
      std::uint64_t stamp = 0;
      auto parsed =
          std::from_chars(line.data(), line.data() + line.size(), stamp);
      bool has_stamp = parsed.ec == std::errc();
      if (wanted && has_stamp) lines.emplace_back(stamp, line);
    }
  }
  std::sort(lines.begin(), lines.end());
  for (const auto& [stamp, line] : lines) out_ << line << "\n";
  return exit_code::ok;
}

object_read ctl_commands::read(const std::string& kind,
                               const std::string& key) {
  object_read out;
  QEventLoop loop;
  platform_.read({kind, key}, [&](object_read reply) {
    out = std::move(reply);
    loop.quit();
  });
  loop.exec();
  if (out.result == read_result::unreachable) {
    throw platform_error("the platform does not answer: try again later");
  }
  return out;
}

object_batch ctl_commands::list(const std::string& kind) {
  object_batch out;
  QEventLoop loop;
  platform_.list(kind, [&](object_batch reply) {
    out = std::move(reply);
    loop.quit();
  });
  loop.exec();
  if (!out.reached) {
    throw platform_error("the platform does not answer: try again later");
  }
  return out;
}

exit_code ctl_commands::write(const object_read& current,
                              const std::string& value) {
  object_written result;
  QEventLoop loop;
  platform_.write({current.kind, current.key, current.version, value},
                  [&](const object_written& reply) {
                    result = reply;
                    loop.quit();
                  });
  loop.exec();
  if (result.result == write_result::unknown) {
    // The write may have taken effect although its answer was lost.
    auto reread = read(current.kind, current.key);
    if (reread.version > current.version && reread.value == value) {
      result = {current.kind, current.key, write_result::written,
                reread.version};
    } else if (reread.version == current.version) {
      throw platform_error("the write did not take effect: try again");
    } else {
      result.result = write_result::conflict;
    }
  }
  if (result.result == write_result::conflict) {
    out_ << current.kind << "/" << current.key
         << ": changed by another operator in the meantime: check it and try "
            "again\n";
    return exit_code::refused;
  }
  out_ << current.kind << "/" << current.key << " is version " << result.version
       << "\n";
  return exit_code::ok;
}

std::string ctl_commands::fetch_page(const endpoint& from,
                                     const std::string& path) {
  QNetworkRequest request(QUrl(QString::fromStdString(
      "http://" + from.address + ":" + std::to_string(from.port) + path)));
  request.setTransferTimeout(fetch_timeout_ms);
  auto* reply = network_.get(request);
  QEventLoop loop;
  QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
  loop.exec();
  reply->deleteLater();
  if (reply->error() != QNetworkReply::NoError) return {};
  return reply->readAll().toStdString();
}

}  // namespace toucanmux
