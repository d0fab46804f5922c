#include "line-client.h"

namespace review {

namespace {

constexpr milliseconds connect_timeout{2000};
// Longer than any statement timeout of the routes.
constexpr milliseconds answer_timeout{12'000};

}  // namespace

std::unique_ptr<line_client> line_client::open(const address& proxy,
                                               const std::string& host,
                                               const std::string& key) {
  auto opened = connection::open(proxy, connect_timeout);
  if (!opened || !opened->write("CONNECT " + host + ' ' + key + "\r\n"))
    return nullptr;
  auto line = opened->read_line(connect_timeout);
  if (!line || !line->starts_with("READY")) return nullptr;
  return std::unique_ptr<line_client>(new line_client(std::move(opened)));
}

bool line_client::rest(milliseconds time) {
  return !connection_->wait_for_input(time);
}

statement_answer line_client::query(const std::string& id,
                                    const std::string& text) {
  statement_answer out;
  if (!connection_->write("QUERY " + id + ' ' + text + "\r\n")) return out;
  for (;;) {
    auto line = connection_->read_line(answer_timeout);
    if (!line) return out;
    if (line->starts_with("ROW ")) {
      out.rows.push_back(line->substr(4));
    } else if (line->starts_with("DONE ")) {
      out.success = true;
      out.signature = line->substr(5);
    } else if (line->starts_with("ERR ")) {
      out.code = line->substr(4, line->find(' ', 4) - 4);
    } else if (line->starts_with("READY ")) {
      out.state = (*line)[6];
      out.position = line->substr(8);
      out.complete = true;
      return out;
    }
  }
}

}  // namespace review
