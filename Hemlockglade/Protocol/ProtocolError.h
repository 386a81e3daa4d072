#pragma once

#include <cstdint>
#include <string>

namespace hemlockglade {

/// Kinds of errors of the protocol layer.
enum class ProtocolErrorKind : std::uint8_t {
  /// The bytes are not a message of the expected kind.
  Malformed,
  /// The message is well formed, but a value is not allowed.
  BadValue,
  /// The message refers to something that does not exist.
  Unknown,
};

/// An error of the protocol layer, with a readable text.
struct ProtocolError {
  ProtocolErrorKind Kind = ProtocolErrorKind::Malformed;
  std::string Text;
};

} // namespace hemlockglade
