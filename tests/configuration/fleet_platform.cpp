#include "fleet.hpp"

namespace bulrushspring::configuration::test
{

published make_manifest(std::uint64_t version, std::size_t vms,
                        std::uint64_t salt, bool valid)
{
    std::string fleet = "[fleet]\nspare_vms = 2\n";
    for (const char* name : {"dc-0", "dc-1", "dc-2"}) {
        fleet += "[data_centre " + std::string(name) + "]\nregion = r\n";
    }
    for (std::size_t i = 0; i < vms; ++i) {
        fleet += "[vm entry-" + std::to_string(i) + "]\ndata_centre = dc-" +
                 std::to_string(i % 3) + "\n";
        const char* const keys[] = {"caller", "peer", "operators"};
        for (std::size_t key = 0; key < 3; ++key) {
            fleet += std::string(keys[key]) +
                     " = 127.0.0.1:" + std::to_string(1000 + 3 * i + key) +
                     "\n";
        }
    }
    const std::string pool =
        "[pool]\nserve = 1\nslots = 3\nconnections = 2000\n[snapshot 1]\n"
        "shards = 1\n[leaf a]\naddress = 127.0.0.1:60000\ndata_centre = " +
        std::string(valid ? "dc-0" : "nowhere") + "\nholds = 1/0\n";
    const std::string service = "[service]\nkind = read\npool = p\n"
                                "deadline_ms = " +
                                std::to_string(100 + salt) + "\n";
    const std::vector<manifest::section_text> sections{
        {"fleet", fleet}, {"pool.p", pool}, {"service.s", service}};
    published made{manifest::pack_index(version, sections), {}};
    for (const auto& one : sections) {
        made.sections["section/" + to_string(hash_content(one.content))] =
            one.content;
    }
    return made;
}

document_id document_id_of(const published& what)
{
    const auto index = manifest::parse_index(what.index);
    return {index.value().version, index.value().hash};
}

void simulated_fleet::publish(std::size_t replica, const published& what)
{
    auto& values = replicas[replica].values;
    if (replicas[replica].frozen) {
        return;
    }
    for (const auto& [key, text] : what.sections) {
        values[key] = {1, text};
    }
    auto& index = values["manifest"];
    index = {index.revision + 1, what.index};
}

void simulated_fleet::publish_everywhere(const published& what)
{
    publish(0, what);
    publish(1, what);
}

void simulated_fleet::publish_valid(const published& what)
{
    valid.insert(hash_content(what.index));
    publish_everywhere(what);
}

void simulated_fleet::publish_vms(const std::string& text)
{
    for (auto& replica : replicas) {
        auto& value = replica.values["vms"];
        value = {value.revision + 1, text};
    }
}

void simulated_fleet::read(std::size_t member_index, const read_platform& call)
{
    platform_calls.push_back({now, call.key});
    if (!replicas[member_index % 2].up) {
        deliver(
            member_index, members[member_index].incarnation, milliseconds{5},
            platform_read_finished{
                call.key, error{errc::unreachable, "read", "platform", ""}});
        return;
    }
    watchers_.push_back({member_index, members[member_index].incarnation, call,
                         now + call.wait});
}

void simulated_fleet::answer_reads()
{
    std::erase_if(watchers_, [&](const platform_watcher& one) {
        const auto& replica = replicas[one.member_index % 2];
        if (!replica.up) {
            deliver(
                one.member_index, one.incarnation, milliseconds{5},
                platform_read_finished{
                    one.call.key, error{errc::closed, "read", "platform", ""}});
            return true;
        }
        const auto it = replica.values.find(one.call.key);
        const bool there = it != replica.values.end() &&
                           it->second.revision > one.call.known_revision;
        if (!there && now < one.expires) {
            return false;
        }
        deliver(one.member_index, one.incarnation, milliseconds{5},
                platform_read_finished{one.call.key,
                                       there ? std::optional(it->second)
                                             : std::nullopt});
        return true;
    });
}

} // namespace bulrushspring::configuration::test
