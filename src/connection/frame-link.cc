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
constexpr std::size_t clock_bytes = 8;
constexpr std::size_t header_bytes = length_bytes + 1 + clock_bytes;

std::string make_frame(const link_message& message) {
  std::string frame(header_bytes, '\0');
  encode_to(frame, message);
  auto length = static_cast<quint32>(frame.size() - length_bytes);
  qToBigEndian(length, frame.data());
  frame[length_bytes] = static_cast<char>(link_version);
  quint64 stamp = process_clock().tick();
  qToBigEndian(stamp, frame.data() + length_bytes + 1);
  return frame;
}

}  // namespace

frame_link::frame_link(int descriptor) : socket_(descriptor) { attach(); }

frame_link::frame_link(const endpoint& to) : socket_(to) { attach(); }

frame_link::~frame_link() = default;

void frame_link::attach() {
  socket_.on([this] { receive(); }, [this] { end(); });
}

void frame_link::on(message_handler take, close_handler closed) {
  take_ = std::move(take);
  closed_ = std::move(closed);
}

void frame_link::send(const link_message& message) {
  if (!ended_) socket_.write(make_frame(message));
}

void frame_link::abort() {
  socket_.abort();
  end();
}

void frame_link::receive() {
  socket_.read(input_, std::numeric_limits<std::size_t>::max());
  QPointer<QObject> alive = &context_;
  std::size_t used = 0;
  try {
    while (std::size_t step = take_frame(std::span(input_).subspan(used))) {
      // A handler may have destroyed this link.
      if (alive.isNull()) return;
      used += step;
    }
  } catch (const protocol_error& e) {
    if (!alive.isNull()) fail(e.what());
    return;
  }
  input_.erase(0, used);
}

// Returns the frame's size, or 0 if it is not whole yet.
std::size_t frame_link::take_frame(std::span<const char> bytes) {
  if (bytes.size() < header_bytes) return 0;
  std::size_t length = qFromBigEndian<quint32>(bytes.data());
  if (length > frame_limit_bytes || length < header_bytes - length_bytes) {
    throw protocol_error("frame of " + std::to_string(length) + " bytes");
  }
  auto version = static_cast<std::uint8_t>(bytes[length_bytes]);
  if (version != link_version) {
    throw protocol_error("frame of version " + std::to_string(version) +
                         ": run one version in the fleet");
  }
  std::size_t size = length + length_bytes;
  if (bytes.size() < size) return 0;
  process_clock().update(
      qFromBigEndian<quint64>(bytes.data() + length_bytes + 1));
  auto body = bytes.subspan(header_bytes, size - header_bytes);
  auto message = decode<link_message>(body);
  if (take_) take_(std::move(message));
  return size;
}

void frame_link::fail(const std::string& why) {
  log_warning(log_part::links, "Closed a link: " + why + ".");
  abort();
}

void frame_link::end() {
  if (ended_) return;
  ended_ = true;
  QTimer::singleShot(0, &context_, [this] {
    // The handler may destroy this link and, with it, the handler.
    if (auto closed = std::exchange(closed_, nullptr)) closed();
  });
}

}  // namespace toucanmux
