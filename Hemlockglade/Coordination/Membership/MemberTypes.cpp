#include "Hemlockglade/Coordination/Membership/MemberTypes.h"

namespace hemlockglade {

namespace {
// Upper bounds of a packed number and of the header of a string or array, in
// bytes.
constexpr std::size_t MaxNumberSize = 9;
constexpr std::size_t MaxHeaderSize = 3;

std::size_t textSize(const std::string &text) {
  return MaxHeaderSize + text.size();
}
} // namespace

std::size_t wireSize(const MemberRecord &record) {
  return MaxHeaderSize + textSize(record.Name) + MaxNumberSize +
         textSize(record.CallerAddress) + textSize(record.PeerAddress) +
         textSize(record.FailureDomain) + textSize(record.Region) + 2;
}

std::size_t wireSize(const CellOwner &cell) {
  return MaxHeaderSize + textSize(cell.Cell) + textSize(cell.Owner) +
         MaxNumberSize;
}

std::size_t wireSize(const MemberMessage &message) {
  std::size_t size = 4 * MaxHeaderSize + 3 * MaxNumberSize + 3 +
                     textSize(message.From) + textSize(message.Target) +
                     message.Hashes.size() * MaxNumberSize;
  for (const auto &it : message.Members)
    size += wireSize(it);
  for (const auto &it : message.Cells)
    size += wireSize(it);
  return size;
}

} // namespace hemlockglade
