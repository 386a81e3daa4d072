#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockglade {

/// A point in time: microseconds since an origin that the driver chooses.
using Instant = std::chrono::microseconds;
/// A span of time in microseconds.
using Span = std::chrono::microseconds;

/// A time before all events on a node: an hour before its clock's origin.
inline constexpr Instant LongAgo{-3'600'000'000};

/// Converts a span to seconds, with fractions.
inline double inSeconds(Span span) {
  return std::chrono::duration<double>(span).count();
}

/// Converts seconds to a span, truncated to microseconds.
inline Span spanOf(double seconds) {
  constexpr double UsPerS = 1e6;
  return Span(static_cast<std::int64_t>(seconds * UsPerS));
}

/// Multiplies a span by a factor, truncated to microseconds.
inline Span scaled(Span span, double factor) {
  return Span(
      static_cast<std::int64_t>(static_cast<double>(span.count()) * factor));
}

/// Fencing number of a cell's ownership; rises with each change of owner.
using Epoch = std::uint64_t;
/// Number of an accepted configuration; rises by one with each commit.
using Revision = std::uint64_t;

/// An adapter and one of its versions, written `name@version`.
struct AdapterRef {
  /// Name of the adapter; never empty.
  std::string Name;
  /// Version; 0 stands for the current version in the configuration.
  std::uint32_t Version = 0;

  bool operator==(const AdapterRef &) const = default;

  /// Returns the reference as text, `name@version`.
  std::string text() const;
  /// Parses `name` or `name@version`; returns nothing if the text is neither.
  static std::optional<AdapterRef> parse(std::string_view text);
};

/// How a request ended, as far as it is known.
enum class Outcome : std::uint8_t {
  /// The endpoint's whole answer was sent to the caller.
  Complete,
  /// The request was not run, and will not be.
  NotRun,
  /// The request may have run.
  Unknown,
};

/// The outcome's name on the wire: `complete`, `not-run` or `unknown`.
std::string_view outcomeName(Outcome outcome);

} // namespace hemlockglade
