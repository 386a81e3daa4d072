#include "Hemlockglade/Coordination/Membership/MemberTypes.h"

namespace hemlockglade {

namespace {
// Upper bounds of a packed number and of a string's or array's head.
constexpr std::size_t Number = 9;
constexpr std::size_t Head = 3;

std::size_t textSize(const std::string &text) { return Head + text.size(); }
} // namespace

std::size_t wireSize(const MemberRecord &record) {
  return Head + textSize(record.Name) + Number +
         textSize(record.CallerAddress) + textSize(record.PeerAddress) +
         textSize(record.FailureDomain) + textSize(record.Region) + 2;
}

std::size_t wireSize(const CellOwner &cell) {
  return Head + textSize(cell.Cell) + textSize(cell.Owner) + Number;
}

std::size_t wireSize(const MemberMessage &message) {
  std::size_t size = 4 * Head + 3 * Number + 3 + textSize(message.From) +
                     textSize(message.Target) + message.Hashes.size() * Number;
  for (const auto &it : message.Members)
    size += wireSize(it);
  for (const auto &it : message.Cells)
    size += wireSize(it);
  return size;
}

} // namespace hemlockglade
