#include "saltquay/replica/record_replica.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace saltquay::replica {
namespace {

// Of an event beside its name and content, in memory and as followers receive it.
constexpr std::size_t event_overhead_bytes = 64;

std::size_t history_bytes(gateway::ObjectEvent const& event)
{
    return event.object.name.size() + event.object.content.size() + event.object.defect.size() + event_overhead_bytes;
}

}

void RecordReplica::replace(gateway::ObjectList const& list)
{
    if (has_snapshot_ && list.at >= at_)
        return apply({ differences(list), list.at });
    has_snapshot_ = true;
    ++version_;
    objects_.clear();
    for (auto const& object : list.items) {
        objects_[object.name] = object;
        changed_at_ = std::max(changed_at_, object.revision);
    }
    at_ = list.at;
    history_.clear();
    history_size_ = 0;
    history_from_ = list.at;
}

std::vector<gateway::ObjectEvent> RecordReplica::differences(gateway::ObjectList const& list) const
{
    std::vector<gateway::ObjectEvent> events;
    std::set<std::string_view> listed;
    for (auto const& object : list.items) {
        listed.insert(object.name);
        auto const known = objects_.find(object.name);
        if (known == objects_.end() || known->second.revision != object.revision
            || known->second.content != object.content)
            events.push_back({ false, object });
    }
    for (auto const& [name, object] : objects_) {
        if (!listed.contains(name))
            events.push_back({ true, { name, object.revision, {} } });
    }
    return events;
}

void RecordReplica::apply(gateway::ObjectEvents const& changes)
{
    if (!changes.events.empty()) {
        ++version_;
        Batch batch;
        batch.up_to = changes.at;
        batch.events = changes.events;
        for (auto const& event : changes.events) {
            batch.bytes += history_bytes(event);
            apply_event(event);
        }
        history_size_ += batch.bytes;
        history_.push_back(std::move(batch));
        evict_old_changes();
    }
    at_ = std::max(at_, changes.at);
}

void RecordReplica::apply_event(gateway::ObjectEvent const& event)
{
    if (event.gone) {
        objects_.erase(event.object.name);
    } else {
        objects_[event.object.name] = event.object;
    }
    // Not the batch's revision: nodes receive different batches and must agree on the revision of the newest change.
    changed_at_ = std::max(changed_at_, event.object.revision);
}

void RecordReplica::evict_old_changes()
{
    while (history_size_ > max_history_bytes && history_.size() > 1) {
        history_from_ = history_.front().up_to;
        history_size_ -= history_.front().bytes;
        history_.pop_front();
    }
}

gateway::ObjectList RecordReplica::list() const
{
    gateway::ObjectList list;
    list.at = at_;
    for (auto const& [name, object] : objects_)
        list.items.push_back(object);
    return list;
}

std::optional<gateway::ObjectEvents> RecordReplica::changes_since(std::int64_t revision) const
{
    if (!has_snapshot_ || revision < history_from_ || revision > at_)
        return std::nullopt;
    gateway::ObjectEvents changes;
    changes.at = at_;
    for (auto const& batch : history_) {
        if (batch.up_to > revision)
            changes.events.insert(changes.events.end(), batch.events.begin(), batch.events.end());
    }
    return changes;
}

}
