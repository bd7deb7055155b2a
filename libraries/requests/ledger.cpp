#include "libraries/requests/ledger.hpp"

#include <algorithm>

namespace bulrushspring::requests
{
namespace
{

// Appends a text with its length, so that no two different lists of texts give
// the same string.
void append(std::string& to, std::string_view text)
{
    to += std::to_string(text.size());
    to += ':';
    to += text;
}

std::size_t body_size(const ledger_record& record)
{
    return record.known_outcome.body ? record.known_outcome.body->size() : 0;
}

} // namespace

content_hash identity_of(const caller_request& request)
{
    std::string text;
    append(text, request.caller);
    append(text, request.id);
    return hash_content(text);
}

content_hash content_of(const caller_request& request)
{
    std::string text;
    append(text, request.service);
    append(text, request.key);
    if (request.body) {
        append(text, *request.body);
    }
    return hash_content(text);
}

ledger_record* find(ledger& self, const content_hash& identity)
{
    const auto found = self.records.find(identity);
    return found == self.records.end() ? nullptr : &found->second;
}

bool full(const ledger& self)
{
    return self.expiries.size() >= self.settings.max_records;
}

ledger_record& add(ledger& self, const content_hash& identity,
                   const ledger_record& record)
{
    self.expiries.push({record.expires_at, identity});
    return self.records.insert_or_assign(identity, record).first->second;
}

void record_outcome(ledger& self, ledger_record& record, outcome known_outcome)
{
    self.body_bytes -= body_size(record);
    record.ended = true;
    record.known_outcome = std::move(known_outcome);
    const auto size = body_size(record);
    if (size > self.settings.max_body_bytes ||
        self.body_bytes + size > self.settings.max_total_body_bytes) {
        record.known_outcome.body = nullptr;
        const bool complete =
            record.known_outcome.status == answer_status::answered;
        if (complete) {
            record.known_outcome.status = answer_status::partial;
            record.known_outcome.reason = "body_not_kept";
        }
    }
    self.body_bytes += body_size(record);
}

void remove(ledger& self, const content_hash& identity)
{
    const auto found = self.records.find(identity);
    if (found == self.records.end()) {
        return;
    }
    self.body_bytes -= body_size(found->second);
    self.records.erase(found);
}

void remove_expired(ledger& self, boot_time now,
                    std::vector<attempt_id>& released)
{
    while (!self.expiries.empty() && self.expiries.top().due <= now) {
        const auto [due, identity] = self.expiries.top();
        self.expiries.pop();
        const auto* record = find(self, identity);
        // If the record was removed and added again, a later entry of the queue
        // belongs to it.
        if (record == nullptr || record->expires_at != due) {
            continue;
        }
        released.push_back(record->attempt);
        remove(self, identity);
    }
}

boot_time next_expiry(const ledger& self)
{
    return self.expiries.empty() ? boot_time::max() : self.expiries.top().due;
}

} // namespace bulrushspring::requests
