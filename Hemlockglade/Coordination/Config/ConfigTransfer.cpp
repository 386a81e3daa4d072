#include "Hemlockglade/Coordination/Config/ConfigTransfer.h"

#include "Hemlockglade/Coordination/Config/ConfigFormat.h"

namespace hemlockglade {

ConfigTransfer::ConfigTransfer(ConfigHooks hooks, std::string peer, Done done)
    : Hooks(std::move(hooks)), Peer(std::move(peer)), OnDone(std::move(done)) {}

void ConfigTransfer::request(ConfigFetch fetch, OnAnswer next) {
  std::uint64_t step = ++Step;
  Hooks.FetchFromPeer(
      Peer, fetch, [self = shared_from_this(), step, next](auto answer) {
        // Only the first answer to a request is used.
        auto expected = step;
        if (self->Step.compare_exchange_strong(expected, step + 1))
          ((*self).*next)(std::move(answer));
      });
}

void ConfigTransfer::requestPiece() {
  request({0, NextPiece}, &ConfigTransfer::onPiece);
}

void ConfigTransfer::onPiece(std::optional<ConfigAnswer> answer) {
  if (!answer || answer->Number < Highest || answer->Number == 0)
    return OnDone(std::nullopt);
  auto entries = decodePiece(answer->Piece);
  if (!entries)
    return OnDone(std::nullopt);
  if (NextPiece == 0)
    Lowest = answer->Number;
  Highest = answer->Number;
  std::move(entries->begin(), entries->end(), std::back_inserter(Changes));
  ++NextPiece;
  if (NextPiece < static_cast<std::int32_t>(CatalogView::PieceCount))
    return requestPiece();
  requestDeltas();
}

void ConfigTransfer::requestDeltas() {
  if (Lowest == Highest)
    return OnDone(CatalogView().with(Highest, Changes));
  request({Lowest, -1}, &ConfigTransfer::onDeltas);
}

void ConfigTransfer::onDeltas(std::optional<ConfigAnswer> answer) {
  if (!answer || answer->TooOld || answer->Deltas.empty())
    return OnDone(std::nullopt);
  for (const auto &text : answer->Deltas) {
    auto delta = decodeDelta(text);
    if (!delta || delta->Number != Lowest + 1)
      return OnDone(std::nullopt);
    if (Lowest == Highest)
      break;
    ++Lowest;
    std::move(delta->Changes.begin(), delta->Changes.end(),
              std::back_inserter(Changes));
  }
  requestDeltas();
}

} // namespace hemlockglade
