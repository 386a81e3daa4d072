#pragma once

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace hemlockglade::test {

/// Any of [min, max), all equally likely; rc::gen::inRange alone draws from a
/// small part of the range while a test's size is small.
template <typename T> rc::Gen<T> anyIn(T min, T max) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(min, max));
}

/// Checks a property over `count` schedules, at the seed of RC_PARAMS, and
/// prints the shrunk schedule if it fails.
template <typename Property>
bool checkMany(const std::string &name, int count, Property property) {
  rc::detail::TestMetadata metadata{name, name};
  auto params = rc::detail::configuration().testParams;
  params.maxSuccess = count;
  auto result = rc::detail::checkTestable(property, metadata, params);
  bool passed = result.template is<rc::detail::SuccessResult>();
  if (!passed)
    rc::detail::printResultMessage(result, std::cerr);
  return passed;
}

} // namespace hemlockglade::test
