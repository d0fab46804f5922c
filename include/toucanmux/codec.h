#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <span>
#include <sstream>
#include <streambuf>
#include <string>

#include "toucanmux/error.h"

namespace toucanmux {

namespace detail {

/// A stream buffer that reads from `bytes` without copying them. The bytes must
/// outlive it.
class view_buffer : public std::streambuf {
 public:
  explicit view_buffer(std::span<const char> bytes) {
    char* start = const_cast<char*>(bytes.data());
    setg(start, start, start + bytes.size());
  }
};

/// A stream buffer that appends to `out`, which must outlive it.
class append_buffer : public std::streambuf {
 public:
  explicit append_buffer(std::string& out) : out_(out) {}

 protected:
  std::streamsize xsputn(const char* data, std::streamsize size) override {
    out_.append(data, static_cast<std::size_t>(size));
    return size;
  }
  int_type overflow(int_type c) override {
    if (!traits_type::eq_int_type(c, traits_type::eof())) {
      out_ += traits_type::to_char_type(c);
    }
    return c;
  }

 private:
  std::string& out_;
};

}  // namespace detail

/// Appends the binary encoding of `message` to `out`.
template <class Message>
void encode_to(std::string& out, const Message& message) {
  detail::append_buffer buffer(out);
  std::ostream stream(&buffer);
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(message);
}

/// Returns the binary encoding of `message`.
template <class Message>
std::string encode(const Message& message) {
  std::string out;
  encode_to(out, message);
  return out;
}

/// Decodes a message. The encoding must fill `bytes` exactly.
/// @throws protocol_error if the bytes are truncated, malformed or followed by
/// extra bytes.
template <class Message>
Message decode(std::span<const char> bytes) {
  detail::view_buffer buffer(bytes);
  std::istream stream(&buffer);
  Message message;
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(message);
  } catch (const std::exception& e) {
    throw protocol_error(std::string("message can't be decoded: ") + e.what());
  }
  if (buffer.in_avail() > 0) throw protocol_error("message has trailing bytes");
  return message;
}

}  // namespace toucanmux
