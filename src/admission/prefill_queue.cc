#include "saltquay/admission/prefill_queue.h"

#include <map>
#include <set>
#include <utility>

namespace saltquay::admission {

namespace {

class ArrivalOrder final : public PrefillQueue {
public:
    void add(QueuedPrompt const& prompt) override
    {
        remove(prompt.id);
        prompts_[prompt.id] = prompt;
        order_.insert({ prompt.arrived, prompt.id });
    }

    void remove(PromptId id) override
    {
        auto const entry = prompts_.find(id);
        if (entry == prompts_.end())
            return;
        order_.erase({ entry->second.arrived, id });
        prompts_.erase(entry);
    }

    // It goes first anyway.
    void commit(PromptId) override { }
    std::size_t committed() const override { return 0; }

    std::vector<PrefillCandidate> next(Time now, std::size_t most) override
    {
        std::vector<PrefillCandidate> found;
        for (auto const& [arrived, id] : order_) {
            if (found.size() == most)
                break;
            auto const in_time = now <= prompts_.at(id).prefill_deadline;
            found.push_back({ id, in_time ? Lane::InTime : Lane::Late });
        }
        return found;
    }

    std::size_t size() const override { return prompts_.size(); }

private:
    std::map<PromptId, QueuedPrompt> prompts_;
    std::set<std::pair<Time, PromptId>> order_;
};

// What is committed first. Then the more urgent routes; within one, most worth for each millisecond of
// engine. What misses its objective moves to the late lane, which goes by
// arrival: a prompt that is dear to read is not passed over for ever.
class WorthOrder final : public PrefillQueue {
public:
    void add(QueuedPrompt const& prompt) override
    {
        remove(prompt.id);
        prompts_[prompt.id] = prompt;
        in_time_.insert(rank(prompt));
        expiry_.insert({ prompt.prefill_deadline, prompt.id });
    }

    void remove(PromptId id) override
    {
        auto const entry = prompts_.find(id);
        if (entry == prompts_.end())
            return;
        in_time_.erase(rank(entry->second));
        std::erase(committed_, id);
        expiry_.erase({ entry->second.prefill_deadline, id });
        late_.erase({ entry->second.arrived, id });
        prompts_.erase(entry);
    }

    std::vector<PrefillCandidate> next(Time now, std::size_t most) override
    {
        move_late(now);
        std::vector<PrefillCandidate> found;
        for (auto const id : committed_)
            found.push_back({ id, Lane::InTime });
        auto const in_time = found.size() + most;
        for (auto const& ranked : in_time_) {
            if (found.size() >= in_time)
                break;
            found.push_back({ ranked.id, Lane::InTime });
        }
        auto const all = found.size() + most;
        for (auto const& [arrived, id] : late_) {
            if (found.size() == all)
                break;
            found.push_back({ id, Lane::Late });
        }
        return found;
    }

    std::size_t size() const override { return prompts_.size(); }

    void commit(PromptId id) override
    {
        auto const entry = prompts_.find(id);
        if (entry == prompts_.end() || in_time_.erase(rank(entry->second)) == 0)
            return;
        expiry_.erase({ entry->second.prefill_deadline, id });
        committed_.push_back(id);
    }

    std::size_t committed() const override { return committed_.size(); }

private:
    struct Rank {
        int route_priority = 0;
        double cost_of_worth = 0; // Milliseconds for each unit of worth.
        PromptId id = 0;

        auto operator<=>(Rank const&) const = default;
    };

    static Rank rank(QueuedPrompt const& prompt)
    {
        return { prompt.route_priority, prompt.prefill_cost_ms / prompt.worth, prompt.id };
    }

    void move_late(Time now)
    {
        while (!expiry_.empty() && expiry_.begin()->first < now) {
            auto const& prompt = prompts_.at(expiry_.begin()->second);
            in_time_.erase(rank(prompt));
            late_.insert({ prompt.arrived, prompt.id });
            expiry_.erase(expiry_.begin());
        }
    }

    std::map<PromptId, QueuedPrompt> prompts_;
    std::vector<PromptId> committed_;
    std::set<Rank> in_time_;
    std::set<std::pair<Time, PromptId>> expiry_; // Of those in time.
    std::set<std::pair<Time, PromptId>> late_;
};

}

std::unique_ptr<PrefillQueue> make_prefill_queue(QueuePolicy policy)
{
    if (policy == QueuePolicy::ValuePerCost)
        return std::make_unique<WorthOrder>();
    return std::make_unique<ArrivalOrder>();
}

}
