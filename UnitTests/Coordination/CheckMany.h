#pragma once

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace hemlockglade::test {

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
