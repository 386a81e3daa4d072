#pragma once

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace hemlockglade::test {

/// Generates values of [min, max), all equally likely; rc::gen::inRange alone
/// draws from a small part of the range while the size of a test case is small.
template <typename T> rc::Gen<T> anyIn(T min, T max) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(min, max));
}

/// Checks a property with `count` generated inputs, at the seed of RC_PARAMS,
/// and prints the shrunk input if one fails. Returns whether all passed.
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
