#include "standin/database-session.h"

#include <QtEndian>

#include "standin/database-server.h"

namespace toucanmux::standin {

namespace {

constexpr std::uint32_t protocol_3 = 196608;
constexpr std::uint32_t cancel_request = 80877102;
constexpr std::uint32_t ssl_request = 80877103;
constexpr std::uint32_t gss_request = 80877104;
constexpr std::size_t flush_bytes = 65536;

template <class T>
void append_number(std::string& out, T value) {
  char bytes[sizeof(T)];
  qToBigEndian(value, bytes);
  out.append(bytes, sizeof(T));
}

/// Reads the fields of a message in order.
class message_reader {
 public:
  explicit message_reader(std::string_view bytes) : bytes_(bytes) {}

  template <class T>
  T number() {
    return qFromBigEndian<T>(bytes(sizeof(T)).data());
  }
  std::string_view text() {
    auto end = bytes_.find('\0');
    if (end == bytes_.npos) throw sql_error("08P01", "unterminated text");
    auto out = bytes(end);
    bytes_.remove_prefix(1);
    return out;
  }
  std::string_view bytes(std::size_t size) {
    if (bytes_.size() < size) throw sql_error("08P01", "message is too short");
    auto out = bytes_.substr(0, size);
    bytes_.remove_prefix(size);
    return out;
  }

 private:
  std::string_view bytes_;
};

}  // namespace

database_session::database_session(database_server& server, QTcpSocket* socket)
    : QObject(&server), server_(server), socket_(socket) {
  socket->setParent(this);
  socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  connect(socket, &QTcpSocket::readyRead, this, [this] { process_messages(); });
  connect(socket, &QTcpSocket::disconnected, this, [this] { deleteLater(); });
}

database_session::~database_session() {
  socket_->disconnect(this);
  server_.remove_session(*this);
}

void database_session::abort() {
  socket_->disconnect(this);
  socket_->abort();
  delete this;
}

void database_session::process_messages() {
  if (server_.callers_partitioned()) return;
  if (socket_->bytesAvailable() > 0) {
    auto size = static_cast<std::size_t>(socket_->bytesAvailable());
    auto before = input_.size();
    input_.resize(before + size);
    socket_->read(input_.data() + before, static_cast<qint64>(size));
  }
  char type = 0;
  std::string_view body;
  while (next_message(type, body)) {
    auto size = body.size() + (started_ ? 5 : 4);
    if (!(started_ ? handle(type, body) : start_up())) break;
    consumed_ += size;
  }
  if (consumed_ == input_.size() || consumed_ > flush_bytes) {
    input_.erase(0, consumed_);
    consumed_ = 0;
  }
  flush();
}

bool database_session::next_message(char& type, std::string_view& body) {
  if (started_ && !startup_complete_) return false;
  auto unread = std::string_view(input_).substr(consumed_);
  std::size_t header = started_ ? 5 : 4;
  if (unread.size() < header) return false;
  type = started_ ? unread[0] : '\0';
  auto size = qFromBigEndian<std::uint32_t>(unread.data() + header - 4);
  if (unread.size() < size + header - 4) return false;
  body = unread.substr(header, size - 4);
  return true;
}

bool database_session::start_up() {
  auto code = qFromBigEndian<std::uint32_t>(input_.data() + consumed_ + 4);
  if (code == ssl_request || code == gss_request) {
    output_ += 'N';
    return true;
  }
  if (code == cancel_request || code != protocol_3) {
    socket_->disconnectFromHost();
    return true;
  }
  started_ = true;
  if (!server_.admit_session(*this)) {
    send_error(sql_error("53300", "sorry, too many clients already"), "FATAL");
    flush();
    socket_->disconnectFromHost();
  }
  return true;
}

void database_session::complete_startup() {
  startup_complete_ = true;
  std::string zero;
  append_number<std::uint32_t>(zero, 0);
  send('R', zero);
  using namespace std::string_view_literals;
  send('S', "server_version\00015.0\0"sv);
  send('S', "client_encoding\0UTF8\0"sv);
  send('S', "standard_conforming_strings\0on\0"sv);
  send('K', zero + zero);
  send('Z', "I");
  process_messages();
}

bool database_session::handle(char type, std::string_view body) {
  if (skips_to_sync_ && type != 'S' && type != 'X') return true;
  try {
    switch (type) {
      case 'P':
        parse(body);
        return true;
      case 'B':
        bind(body);
        return true;
      case 'D':
        // The stand-in knows a portal's columns only after Execute, which sends
        // them.
        if (body.starts_with('P')) {
          portals_[std::string(message_reader(body.substr(1)).text())]
              .described = true;
        }
        return true;
      case 'E':
        return execute(portals_[std::string(message_reader(body).text())]);
      case 'S':
        return synchronize();
      case 'Q':
        return simple_query(body);
      case 'H':
        flush();
        return true;
      case 'C':
        send('3');
        return true;
      case 'X':
        socket_->disconnectFromHost();
        return true;
      default:
        throw sql_error("08P01", "unknown message type");
    }
  } catch (const sql_error& problem) {
    send_error(problem, "ERROR");
    server_.fail(*this);
    // If the commit at a Sync fails, the Sync is still answered.
    if (type == 'S') return synchronize();
    query_executed_ = type == 'Q';
    skips_to_sync_ = !query_executed_;
    return query_executed_ ? simple_query(body) : true;
  }
}

void database_session::parse(std::string_view body) {
  message_reader in(body);
  auto name = in.text();
  statements_.insert_or_assign(std::string(name), std::string(in.text()));
  send('1');
}

void database_session::bind(std::string_view body) {
  message_reader in(body);
  auto name = in.text();
  auto statement = statements_.find(in.text());
  if (statement == statements_.end()) {
    throw sql_error("26000", "prepared statement does not exist");
  }
  auto& target = portals_[std::string(name)];
  target.described = false;
  target.sql = statement->second;
  for (auto formats = in.number<std::uint16_t>(); formats > 0; --formats) {
    if (in.number<std::uint16_t>() != 0) {
      throw sql_error("0A000", "binary parameters are not supported");
    }
  }
  target.values.assign(in.number<std::uint16_t>(), {});
  for (auto& value : target.values) {
    auto size = in.number<std::int32_t>();
    value.null = size < 0;
    if (size > 0) value.text = in.bytes(static_cast<std::size_t>(size));
  }
  send('2');
}

bool database_session::execute(portal& target) {
  sql_result result;
  if (!server_.execute(*this, target.sql, target.values, result)) return false;
  send_rows(result, target.described);
  return true;
}

bool database_session::simple_query(std::string_view body) {
  if (!query_executed_) {
    sql_result result;
    if (!server_.execute(*this, std::string(message_reader(body).text()), {},
                         result)) {
      return false;
    }
    query_executed_ = true;
    send_rows(result, !result.columns.empty());
  }
  if (!synchronize()) return false;
  query_executed_ = false;
  return true;
}

bool database_session::synchronize() {
  if (!server_.synchronize(*this)) return false;
  skips_to_sync_ = false;
  send('Z', !transaction.open ? "I" : transaction.failed ? "E" : "T");
  return true;
}

void database_session::send_error(const sql_error& problem,
                                  std::string_view severity) {
  std::string body;
  auto field = [&](char type, std::string_view text) {
    (body += type).append(text) += '\0';
  };
  field('S', severity);
  field('V', severity);
  field('C', problem.state());
  field('M', problem.what());
  body += '\0';
  send('E', body);
}

void database_session::terminate() {
  send_error(
      sql_error("57P01", "terminating connection due to administrator command"),
      "FATAL");
  flush();
  socket_->disconnectFromHost();
}

void database_session::warn_not_replicated() {
  using namespace std::string_view_literals;
  send('N',
       "SWARNING\0VWARNING\0C01000\0"
       "Mcanceling wait for synchronous replication due to user request\0"
       "RSyncRepWaitForLSN\0\0"sv);
}

void database_session::send_rows(const sql_result& result, bool described) {
  std::string body;
  if (described && result.columns.empty()) send('n');
  if (described && !result.columns.empty()) {
    append_number(body, static_cast<std::uint16_t>(result.columns.size()));
    for (const auto& column : result.columns) {
      (body += column.name) += '\0';
      append_number<std::uint32_t>(body, 0);
      append_number<std::uint16_t>(body, 0);
      append_number<std::uint32_t>(body, column.type);
      append_number<std::uint16_t>(body, 0xffff);
      append_number<std::uint32_t>(body, 0xffffffff);
      append_number<std::uint16_t>(body, 0);
    }
    send('T', body);
  }
  for (const auto& row : result.rows) {
    body.clear();
    append_number(body, static_cast<std::uint16_t>(row.size()));
    for (const auto& value : row) {
      append_number(
          body, value.null ? -1 : static_cast<std::int32_t>(value.text.size()));
      body += value.text;
    }
    send('D', body);
  }
  send('C', result.tag + '\0');
}

void database_session::send(char type, std::string_view body) {
  output_ += type;
  append_number(output_, static_cast<std::uint32_t>(body.size() + 4));
  output_ += body;
}

void database_session::flush() {
  if (output_.empty() || server_.callers_partitioned()) return;
  socket_->write(output_.data(), static_cast<qint64>(output_.size()));
  socket_->flush();
  output_.clear();
}

}  // namespace toucanmux::standin
