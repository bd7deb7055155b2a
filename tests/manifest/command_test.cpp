#include "tests/manifest/sections.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <sys/wait.h>
#include <unistd.h>

using namespace bulrushspring;
namespace fs = std::filesystem;

namespace
{

int run_command(const std::string& arguments)
{
    const std::string command = std::string(BULRUSHSPRING_BINARY_FOLDER) +
                                "/bulrushspring-manifest " + arguments +
                                " >/dev/null 2>&1";
    // NOLINTNEXTLINE(cert-env33-c)
    return WEXITSTATUS(std::system(command.c_str()));
}

std::string read_file(const fs::path& path)
{
    std::ifstream file(path, std::ios::binary);
    return std::string{std::istreambuf_iterator<char>(file), {}};
}

} // namespace

BOOST_AUTO_TEST_CASE(the_command_checks_and_packs_manifests)
{
    const fs::path folder = fs::temp_directory_path() /
                            ("bulrushspring-" + std::to_string(getpid()));
    const std::string example =
        std::string(BULRUSHSPRING_SOURCE_FOLDER) + "/examples/yearbook";
    fs::create_directories(folder);
    fs::copy(example, folder / "in");
    const std::string in = (folder / "in").string();
    const std::string out = (folder / "out").string();

    BOOST_TEST(run_command("check " + in) == 0);
    BOOST_TEST(run_command("--version=7 pack " + in + " " + out) == 0);
    const auto index = manifest::parse_index(read_file(out + "/manifest"));
    BOOST_TEST_REQUIRE(index.has_value());
    BOOST_TEST(index.value().version == 7U);
    for (const auto& one : index.value().sections) {
        const auto text = read_file(out + "/section/" + to_string(one.hash));
        BOOST_TEST((hash_content(text) == one.hash), one.name);
    }
    BOOST_TEST(fs::exists(out + "/vms"));

    BOOST_TEST(run_command("pack " + in + " " + out) == 2);
    BOOST_TEST(run_command("check " + in + "/none") == 2);
    BOOST_TEST(run_command("") == 2);
    std::ofstream(in + "/service.petak-ringkas.ini") << "[service]\n";
    BOOST_TEST(run_command("check " + in) == 1);
    BOOST_TEST(run_command("--version=8 pack " + in + " " + out) == 1);
    BOOST_TEST(read_file(out + "/manifest").find("version = 7") !=
               std::string::npos);
    fs::remove_all(folder);
}
