#include "libraries/shell/peer_datagrams.hpp"

#include "libraries/wire/datagram.hpp"

#include <sys/socket.h>

namespace bulrushspring::shell
{
namespace
{

// Limit on the datagrams read per wakeup, so that a burst of them does not
// delay callers.
constexpr int max_datagrams_per_wakeup = 64;
// One byte more than the largest valid datagram, so that oversized datagrams
// are detected instead of being truncated to a valid size.
constexpr std::size_t receive_buffer_bytes = wire::max_datagram_bytes + 1;

error socket_error(const char* step, const endpoint& peer)
{
    return error{std::error_code(errno, std::generic_category()), step,
                 to_string(peer), ""};
}

} // namespace

peer_datagrams::peer_datagrams(evutil_socket_t socket, sink out)
    : socket_(socket), sink_(std::move(out))
{
}

peer_datagrams::~peer_datagrams()
{
    readable_.reset();
    evutil_closesocket(socket_);
}

result<std::unique_ptr<peer_datagrams>>
peer_datagrams::bind(event_base* base, const endpoint& address, sink out)
{
    const evutil_socket_t socket = ::socket(AF_INET, SOCK_DGRAM, 0);
    if (socket < 0) {
        return socket_error("open UDP socket", address);
    }
    std::unique_ptr<peer_datagrams> made(
        new peer_datagrams(socket, std::move(out)));
    evutil_make_socket_nonblocking(socket);
    const sockaddr_in where = to_socket_address(address);
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&where),
               sizeof where) != 0) {
        return socket_error("bind UDP socket", address);
    }
    made->readable_.reset(
        event_new(base, socket, EV_READ | EV_PERSIST, on_readable, made.get()));
    event_add(made->readable_.get(), nullptr);
    return made;
}

void peer_datagrams::on_readable(evutil_socket_t /*socket*/, short /*what*/,
                                 void* self)
{
    auto& owner = *static_cast<peer_datagrams*>(self);
    for (int i = 0; i < max_datagrams_per_wakeup; ++i) {
        if (!owner.receive_one()) {
            return;
        }
    }
}

bool peer_datagrams::receive_one()
{
    std::array<char, receive_buffer_bytes> buffer{};
    sockaddr_in sender{};
    socklen_t sender_size = sizeof sender;
    const auto size =
        recvfrom(socket_, buffer.data(), buffer.size(), 0,
                 reinterpret_cast<sockaddr*>(&sender), &sender_size);
    if (size < 0) {
        return false;
    }
    const auto bytes = static_cast<std::size_t>(size);
    metrics::add(*sink_.metrics, metrics::counter::datagrams_received);
    metrics::add(*sink_.metrics, metrics::counter::datagram_bytes_received,
                 bytes);
    const endpoint from = from_socket_address(sender);
    auto message =
        wire::decode_datagram({buffer.data(), bytes}, to_string(from));
    if (!message) {
        sink_.reject(message.error());
        return true;
    }
    sink_.post(datagram_received{from, std::move(message).value()});
    return true;
}

void peer_datagrams::carry_out(const send_datagram& effect)
{
    const auto bytes = wire::encode(effect.message);
    if (!bytes) {
        sink_.reject(bytes.error());
        return;
    }
    const sockaddr_in to = to_socket_address(effect.to);
    // Errors are ignored: the protocol tolerates lost datagrams.
    sendto(socket_, bytes.value().data(), bytes.value().size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof to);
    metrics::add(*sink_.metrics, metrics::counter::datagrams_sent);
    metrics::add(*sink_.metrics, metrics::counter::datagram_bytes_sent,
                 bytes.value().size());
}

} // namespace bulrushspring::shell
