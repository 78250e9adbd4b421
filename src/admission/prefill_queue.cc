#include "saltquay/admission/prefill_queue.h"

#include <map>
#include <set>
#include <utility>

namespace saltquay::admission {

namespace {

class ArrivalQueue final : public PrefillQueue {
public:
    void add(QueuedPrompt const& prompt) override
    {
        remove(prompt.id);
        prompts_[prompt.id] = prompt;
        by_arrival_.insert({ prompt.arrived, prompt.id });
    }

    void remove(PromptId id) override
    {
        auto const entry = prompts_.find(id);
        if (entry == prompts_.end())
            return;
        by_arrival_.erase({ entry->second.arrived, id });
        prompts_.erase(entry);
    }

    // Does nothing: the order is fixed. Later arrivals cannot overtake a prompt, and it never overtakes earlier ones.
    void commit(PromptId) override { }
    std::size_t committed() const override { return 0; }

    std::vector<PrefillCandidate> next(Time now, std::size_t max_per_lane) override
    {
        std::vector<PrefillCandidate> candidates;
        for (auto const& [arrived, id] : by_arrival_) {
            if (candidates.size() == max_per_lane)
                break;
            auto const in_time = now <= prompts_.at(id).prefill_deadline;
            candidates.push_back({ id, in_time ? Lane::InTime : Lane::Late });
        }
        return candidates;
    }

    std::size_t size() const override { return prompts_.size(); }

private:
    std::map<PromptId, QueuedPrompt> prompts_;
    std::set<std::pair<Time, PromptId>> by_arrival_;
};

// Committed prompts come first, then prompts by the priority of their route and, within one priority, by value per
// millisecond of engine time. Prompts that can no longer meet their objective move to the late lane, which is ordered
// by arrival so that expensive prompts do not starve.
class ValuePerCostQueue final : public PrefillQueue {
public:
    void add(QueuedPrompt const& prompt) override
    {
        remove(prompt.id);
        prompts_[prompt.id] = prompt;
        in_time_.insert(rank(prompt));
        prefill_deadlines_.insert({ prompt.prefill_deadline, prompt.id });
    }

    void remove(PromptId id) override
    {
        auto const entry = prompts_.find(id);
        if (entry == prompts_.end())
            return;
        in_time_.erase(rank(entry->second));
        std::erase(committed_, id);
        prefill_deadlines_.erase({ entry->second.prefill_deadline, id });
        late_.erase({ entry->second.arrived, id });
        prompts_.erase(entry);
    }

    std::vector<PrefillCandidate> next(Time now, std::size_t max_per_lane) override
    {
        move_overdue_to_late_lane(now);
        std::vector<PrefillCandidate> candidates;
        for (auto const id : committed_)
            candidates.push_back({ id, Lane::InTime });
        auto const max_with_in_time = candidates.size() + max_per_lane;
        for (auto const& ranked : in_time_) {
            if (candidates.size() >= max_with_in_time)
                break;
            candidates.push_back({ ranked.id, Lane::InTime });
        }
        auto const max_with_late = candidates.size() + max_per_lane;
        for (auto const& [arrived, id] : late_) {
            if (candidates.size() == max_with_late)
                break;
            candidates.push_back({ id, Lane::Late });
        }
        return candidates;
    }

    std::size_t size() const override { return prompts_.size(); }

    void commit(PromptId id) override
    {
        auto const entry = prompts_.find(id);
        if (entry == prompts_.end() || in_time_.erase(rank(entry->second)) == 0)
            return;
        prefill_deadlines_.erase({ entry->second.prefill_deadline, id });
        committed_.push_back(id);
    }

    std::size_t committed() const override { return committed_.size(); }

private:
    struct Rank {
        int route_priority = 0;
        double cost_per_value = 0; // Milliseconds per unit of value.
        PromptId id = 0;

        auto operator<=>(Rank const&) const = default;
    };

    static Rank rank(QueuedPrompt const& prompt)
    {
        return { prompt.route_priority, prompt.prefill_cost_ms / prompt.prompt_value, prompt.id };
    }

    void move_overdue_to_late_lane(Time now)
    {
        while (!prefill_deadlines_.empty() && prefill_deadlines_.begin()->first < now) {
            auto const& prompt = prompts_.at(prefill_deadlines_.begin()->second);
            in_time_.erase(rank(prompt));
            late_.insert({ prompt.arrived, prompt.id });
            prefill_deadlines_.erase(prefill_deadlines_.begin());
        }
    }

    std::map<PromptId, QueuedPrompt> prompts_;
    std::vector<PromptId> committed_;
    std::set<Rank> in_time_;
    std::set<std::pair<Time, PromptId>> prefill_deadlines_; // Deadlines of the prompts that are still in time.
    std::set<std::pair<Time, PromptId>> late_;
};

}

std::unique_ptr<PrefillQueue> make_prefill_queue(QueuePolicy policy)
{
    if (policy == QueuePolicy::ValuePerCost)
        return std::make_unique<ValuePerCostQueue>();
    return std::make_unique<ArrivalQueue>();
}

}
