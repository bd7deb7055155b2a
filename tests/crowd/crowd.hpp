#ifndef BULRUSHSPRING_TESTS_CROWD_CROWD_HPP
#define BULRUSHSPRING_TESTS_CROWD_CROWD_HPP

#include "tests/http/loop.hpp"
#include "tests/soak/served_site.hpp"
#include "tests/support/process.hpp"

#include <algorithm>
#include <filesystem>
#include <memory>
#include <vector>

// Callers that send as much as a daemon accepts, and keep their connections
// open.
namespace bulrushspring::test
{

inline constexpr std::size_t crowd_size = 240;
inline constexpr std::size_t max_body = max_legal_body;

// What each caller of a crowd sends. Most stop just short of the end.
struct crowd_kind {
    const char* what;
    // The part after the header's common fields; `whole`: to its end.
    std::string (*rest)(bool whole);
    std::size_t per_turn; // bytes
    bool completes;       // one caller in eight sends the whole request
};

inline std::string sized_body(std::size_t stated, std::size_t sent)
{
    return "Content-Length: " + std::to_string(stated) + "\r\n\r\n" +
           std::string(sent, 'b');
}

inline std::string chunked_body(std::size_t chunk, std::size_t total,
                                bool whole)
{
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunk);
    std::string bytes = "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t sent = 0; sent + chunk <= total; sent += chunk) {
        bytes += size.data() + std::string(chunk, 'c') + "\r\n";
    }
    return bytes + (whole ? "0\r\n\r\n" : "");
}

inline const std::vector<crowd_kind> crowd_kinds = {
    {"legal bodies in one piece",
     [](bool whole) {
         return sized_body(max_body, max_body - (whole ? 0 : 1));
     },
     max_body, true},
    {"legal bodies piece by piece",
     [](bool whole) {
         return sized_body(max_body, max_body - (whole ? 0 : 1));
     },
     8192, true},
    {"legal bodies in large chunks",
     [](bool whole) { return chunked_body(32768, max_body, whole); }, max_body,
     true},
    {"legal bodies in very small chunks",
     [](bool whole) { return chunked_body(1, max_body / 4, whole); }, max_body,
     true},
    {"bodies announced far over the limit",
     [](bool) { return sized_body(100'000'000, 4 * max_body); }, max_body,
     false},
    {"bodies sent far over the limit",
     [](bool) { return chunked_body(32768, 4 * max_body, false); }, max_body,
     false},
};

class crowd
{
public:
    // `head` makes the request line and the header's common fields.
    template <typename Head>
    crowd(const crowd_kind& kind, const endpoint& address, const Head& head)
        : per_turn_(kind.per_turn)
    {
        constexpr std::size_t one_in = 8;
        for (std::size_t i = 0; i < crowd_size; ++i) {
            const bool whole = kind.completes && i % one_in == 0;
            callers_.emplace_back(new caller{
                http_test::raw_socket(http_test::connect_to(address)),
                head(i) + kind.rest(whole)});
        }
    }

    // Sends what the sockets take. Returns the number of bytes.
    std::size_t turn()
    {
        std::size_t total = 0;
        for (auto& each : callers_) {
            const auto sent =
                each->socket.send(each->bytes.substr(each->sent, per_turn_));
            each->sent += sent;
            total += sent;
            each->socket.receive();
        }
        return total;
    }

private:
    struct caller {
        http_test::raw_socket socket;
        std::string bytes;
        std::size_t sent = 0;
    };

    std::size_t per_turn_;
    std::vector<std::unique_ptr<caller>> callers_;
};

inline std::size_t open_descriptors(pid_t process)
{
    std::error_code failed;
    const std::filesystem::directory_iterator all(
        "/proc/" + std::to_string(process) + "/fd", failed);
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

} // namespace bulrushspring::test

#endif
