#ifndef BULRUSHSPRING_LIBRARIES_MANIFEST_VM_CHANGES_HPP
#define BULRUSHSPRING_LIBRARIES_MANIFEST_VM_CHANGES_HPP

#include "libraries/manifest/documents.hpp"

namespace bulrushspring::manifest
{

// The state of a VM; `gone` means that the list no longer contains it.
enum class vm_state : std::uint8_t { live, leaving, gone };

// The new state of one VM, as part of a difference between two lists.
struct vm_change {
    std::string name;
    vm_state state = vm_state::live;

    bool operator==(const vm_change&) const = default;
};

using vm_changes = std::vector<vm_change>;

// Returns the changes that turn `before` into `after`, sorted by name.
vm_changes difference(const vm_list& before, const vm_list& after);

// Returns the list that results from applying the changes to `before`.
vm_list apply(const vm_list& before, const vm_changes& changes);

// Changes have the INI format of a list, with the additional state "gone".
std::string to_text(const vm_changes& changes);
checked<vm_changes> parse_vm_changes(std::string_view content);

} // namespace bulrushspring::manifest

#endif
