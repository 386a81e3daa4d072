#pragma once

#include "Hemlockglade/Coordination/Config/ConfigTypes.h"
#include "Hemlockglade/Coordination/Membership/MemberTypes.h"
#include "Hemlockglade/Protocol/Message/PeerMessages.h"

#include <tuple>

namespace hemlockglade {

// The messages of membership and configuration are structs of the coordination
// layer. WireFields ties each of them to the order of its fields on the wire,
// which pack() and unpack() use.

namespace peer_path {
/// One MemberMessage each way.
inline constexpr std::string_view Member = "/member";
/// A ConfigFetch, answered by a ConfigAnswer.
inline constexpr std::string_view Config = "/config";
} // namespace peer_path

template <typename T> struct WireFields;

template <> struct WireFields<MemberRecord> {
  static auto tie(auto &it) {
    return std::tie(it.Name, it.Incarnation, it.CallerAddress, it.PeerAddress,
                    it.FailureDomain, it.Region, it.Leaving, it.State);
  }
};

template <> struct WireFields<CellOwner> {
  static auto tie(auto &it) { return std::tie(it.Cell, it.Owner, it.Fence); }
};

template <> struct WireFields<MemberMessage> {
  static auto tie(auto &it) {
    return std::tie(it.Kind, it.From, it.FromIncarnation, it.SeenIncarnation,
                    it.SeenState, it.InForce, it.Target, it.Members, it.Cells,
                    it.Hashes, it.More);
  }
};

template <> struct WireFields<ConfigFetch> {
  static auto tie(auto &it) { return std::tie(it.From, it.Piece); }
};

template <> struct WireFields<ConfigAnswer> {
  static auto tie(auto &it) {
    return std::tie(it.Number, it.TooOld, it.Deltas, it.Piece);
  }
};

template <typename T>
concept HasWireFields = requires(T &it) {
  WireFields<T>::tie(it);
};

} // namespace hemlockglade

MSGPACK_ADD_ENUM(hemlockglade::MemberState)
MSGPACK_ADD_ENUM(hemlockglade::MemberMessageKind)

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <typename T>
  struct pack<T, std::enable_if_t<hemlockglade::HasWireFields<T>>> {
    template <typename Stream>
    packer<Stream> &operator()(packer<Stream> &out, const T &value) const {
      std::apply(
          [&out](const auto &...field) {
            out.pack_array(sizeof...(field));
            (out.pack(field), ...);
          },
          hemlockglade::WireFields<T>::tie(value));
      return out;
    }
  };

  template <typename T>
  struct convert<T, std::enable_if_t<hemlockglade::HasWireFields<T>>> {
    const msgpack::object &operator()(const msgpack::object &in,
                                      T &value) const {
      if (in.type != msgpack::type::ARRAY)
        throw msgpack::type_error();
      // Fields that an older sender does not send keep their defaults.
      std::uint32_t index = 0;
      auto read = [&](auto &field) {
        if (index < in.via.array.size)
          in.via.array.ptr[index++].convert(field);
      };
      std::apply([&](auto &...field) { (read(field), ...); },
                 hemlockglade::WireFields<T>::tie(value));
      return in;
    }
  };

  } // namespace adaptor
}
} // namespace msgpack
