#include "connection/frame-link.h"

#include <QPointer>
#include <QTimer>
#include <QtEndian>
#include <limits>

#include "process/clock.h"
#include "process/log.h"
#include "toucanmux/codec.h"

namespace toucanmux {

namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t timestamp_bytes = 8;
constexpr std::size_t header_bytes = length_bytes + 1 + timestamp_bytes;

std::string make_frame(const link_message& message) {
  std::string frame(header_bytes, '\0');
  encode_to(frame, message);
  auto length = static_cast<quint32>(frame.size() - length_bytes);
  qToBigEndian(length, frame.data());
  frame[length_bytes] = static_cast<char>(link_version);
  quint64 timestamp = process_clock().tick();
  qToBigEndian(timestamp, frame.data() + length_bytes + 1);
  return frame;
}

}  // namespace

frame_link::frame_link(int descriptor) : socket_(descriptor) { attach(); }

frame_link::frame_link(const endpoint& peer) : socket_(peer) { attach(); }

frame_link::~frame_link() = default;

void frame_link::attach() {
  socket_.on([this] { handle_readable(); }, [this] { handle_close(); });
}

void frame_link::on(message_handler on_message, close_handler on_closed) {
  on_message_ = std::move(on_message);
  on_closed_ = std::move(on_closed);
}

void frame_link::send(const link_message& message) {
  if (!ended_) socket_.write(make_frame(message));
}

void frame_link::abort() {
  socket_.abort();
  handle_close();
}

void frame_link::handle_readable() {
  socket_.read(input_, std::numeric_limits<std::size_t>::max());
  QPointer<QObject> alive = &context_;
  std::size_t used = 0;
  try {
    while (std::size_t frame_size =
               handle_frame(std::span(input_).subspan(used))) {
      // A handler may have destroyed this link.
      if (alive.isNull()) return;
      used += frame_size;
    }
  } catch (const protocol_error& e) {
    if (!alive.isNull()) fail(e.what());
    return;
  }
  input_.erase(0, used);
}

// Handles the first frame of `bytes` and returns its size, or 0 if the frame is
// still incomplete.
std::size_t frame_link::handle_frame(std::span<const char> bytes) {
  if (bytes.size() < header_bytes) return 0;
  std::size_t length = qFromBigEndian<quint32>(bytes.data());
  if (length > frame_limit_bytes || length < header_bytes - length_bytes) {
    throw protocol_error("invalid frame length of " + std::to_string(length) +
                         " bytes");
  }
  auto version = static_cast<std::uint8_t>(bytes[length_bytes]);
  if (version != link_version) {
    throw protocol_error("unsupported frame version " +
                         std::to_string(version) +
                         ": run one version in the fleet");
  }
  std::size_t size = length + length_bytes;
  if (bytes.size() < size) return 0;
  process_clock().update(
      qFromBigEndian<quint64>(bytes.data() + length_bytes + 1));
  auto body = bytes.subspan(header_bytes, size - header_bytes);
  auto message = decode<link_message>(body);
  if (on_message_) on_message_(std::move(message));
  return size;
}

void frame_link::fail(const std::string& error) {
  log_warning(log_part::links,
              "Closed a link after a protocol error: " + error + ".");
  abort();
}

void frame_link::handle_close() {
  if (ended_) return;
  ended_ = true;
  QTimer::singleShot(0, &context_, [this] {
    // The handler may destroy this link, which owns the handler.
    if (auto on_closed = std::exchange(on_closed_, nullptr)) on_closed();
  });
}

}  // namespace toucanmux
