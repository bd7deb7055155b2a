#include "fakes/platform/platform.hpp"

#include "fakes/http/program.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <string>

ABSL_FLAG(std::string, address, "127.0.0.1", "IPv4 address to listen on");
ABSL_FLAG(std::uint16_t, port, 0, "port for readers; 0: any free port");
ABSL_FLAG(std::uint16_t, admin_port, 0, "port for operators; 0: any free port");
ABSL_FLAG(std::string, port_file, "",
          "file to write once listening: readers' and operators' addresses");
ABSL_FLAG(std::string, publish, "",
          "folder to publish at start: manifest, vms, section/HASH");
ABSL_FLAG(std::uint32_t, vms_lag_ms, 0,
          "delay until readers see a change of the list of VMs");

namespace
{

using namespace bulrushspring;

result<void> run()
{
    const auto base = client::make_event_base();
    const system_boot_clock time;
    const auto address = absl::GetFlag(FLAGS_address) + ":";
    TRY(readers,
        parse_endpoint(address + std::to_string(absl::GetFlag(FLAGS_port))));
    TRY(operators, parse_endpoint(address + std::to_string(absl::GetFlag(
                                                FLAGS_admin_port))));
    TRY(fake, fakes::open_platform(*base, time, readers, operators));
    if (const auto folder = absl::GetFlag(FLAGS_publish); !folder.empty()) {
        TRY(fakes::publish_folder(fake->state, folder, time.now()));
    }
    fake->state.faults.vms_lag = milliseconds{absl::GetFlag(FLAGS_vms_lag_ms)};
    const auto addresses = to_string(fake->readers->address) + "\n" +
                           to_string(fake->operators->address) + "\n";
    TRY(fakes::announce_addresses(absl::GetFlag(FLAGS_port_file), addresses));
    return fakes::run_until_signal(*base);
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("fake of the platform (docs/PLATFORM.md)");
    absl::ParseCommandLine(argc, argv);
    return fakes::exit_code_of(run());
}
