#pragma once

#include <stdexcept>
#include <string>

/// Exception types, one per kind of failure. Each message says how to correct
/// the failure.
namespace toucanmux {

/// Base class of all exceptions that toucanmux throws.
class error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// An unusable settings file. The message names the file, the line and the
/// correction.
class settings_error : public error {
 public:
  using error::error;
};

/// An invalid configuration object: a list of teams, a list of plans or a
/// database group.
class list_error : public error {
 public:
  using error::error;
};

/// Bytes from another process that are truncated or of another protocol
/// version.
class protocol_error : public error {
 public:
  using error::error;
};

/// An unreadable trace file. The message names the line.
class trace_error : public error {
 public:
  using error::error;
};

/// A session token that is forged, truncated or of another version.
class token_error : public error {
 public:
  using error::error;
};

/// The platform's object API rejected a call or was unreachable.
class platform_error : public error {
 public:
  using error::error;
};

}  // namespace toucanmux
