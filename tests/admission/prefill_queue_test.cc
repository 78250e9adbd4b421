// Order of prompts under each queue policy.
#include "saltquay/admission/prefill_queue.h"

#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace saltquay::admission {

namespace {

QueuedPrompt prompt(PromptId id, double prefill_cost_ms, Time prefill_deadline = Time { 10s }, int route_priority = 0)
{
    QueuedPrompt prompt;
    prompt.id = id;
    prompt.arrived = Time { 1s } + Duration { static_cast<std::int64_t>(id) };
    prompt.prefill_deadline = prefill_deadline;
    prompt.ends = Time { 20s };
    prompt.route_priority = route_priority;
    prompt.prefill_cost_ms = prefill_cost_ms;
    return prompt;
}

PromptId first(PrefillQueue& queue, Time now) { return queue.next(now, 1).at(0).id; }

TEST(ValuePerCostQueueTest, CheapPromptsOfTheMostUrgentRouteComeFirst)
{
    auto const queue = make_prefill_queue(QueuePolicy::ValuePerCost);
    queue->add(prompt(1, 40));
    queue->add(prompt(2, 10));
    queue->add(prompt(3, 1, Time { 10s }, 1));
    EXPECT_EQ(first(*queue, Time { 2s }), 2U);
    queue->remove(2);
    EXPECT_EQ(first(*queue, Time { 2s }), 1U);
    queue->remove(1);
    EXPECT_EQ(first(*queue, Time { 2s }), 3U);
}

TEST(ValuePerCostQueueTest, PromptsThatMissTheirObjectiveComeLastInOrderOfArrival)
{
    auto const queue = make_prefill_queue(QueuePolicy::ValuePerCost);
    queue->add(prompt(1, 40, Time { 3s }));
    queue->add(prompt(2, 10, Time { 3s }));
    queue->add(prompt(3, 90));
    auto const found = queue->next(Time { 4s }, 8);
    ASSERT_EQ(found.size(), 3U);
    EXPECT_EQ(found[0].id, 3U);
    EXPECT_EQ(found[1].id, 1U);
    EXPECT_EQ(found[1].lane, Lane::Late);
    EXPECT_EQ(found[2].id, 2U);
}

TEST(ValuePerCostQueueTest, CommittedPromptIsNotOvertaken)
{
    auto const queue = make_prefill_queue(QueuePolicy::ValuePerCost);
    queue->add(prompt(1, 40, Time { 3s }));
    queue->commit(1);
    queue->add(prompt(2, 10));
    EXPECT_EQ(first(*queue, Time { 2s }), 1U);
    EXPECT_EQ(first(*queue, Time { 4s }), 1U); // A committed prompt keeps its position after its prefill deadline.
    EXPECT_EQ(queue->committed(), 1U);
    queue->remove(1);
    EXPECT_EQ(queue->committed(), 0U);
}

TEST(ArrivalQueueTest, OrdersByArrivalRegardlessOfCost)
{
    auto const queue = make_prefill_queue(QueuePolicy::FirstComeFirstServed);
    queue->add(prompt(2, 1));
    queue->add(prompt(1, 90));
    EXPECT_EQ(first(*queue, Time { 2s }), 1U);
}

// After any sequence of additions, commits and removals, each remaining prompt is offered exactly once.
RC_GTEST_PROP(PrefillQueueProperty, NoPromptIsLostOrOfferedTwice, ())
{
    auto const policy = *rc::gen::element(QueuePolicy::ValuePerCost, QueuePolicy::FirstComeFirstServed);
    auto const queue = make_prefill_queue(policy);
    std::set<PromptId> present;
    auto const steps = *rc::gen::inRange(1, 60);
    for (auto i = 0; i < steps; ++i) {
        auto const id = *rc::gen::inRange<PromptId>(1, 12);
        auto const now = Time { std::chrono::seconds(*rc::gen::inRange(1, 8)) };
        auto const step = *rc::gen::inRange(0, 4);
        if (step == 0) {
            queue->remove(id);
            present.erase(id);
        } else if (step == 1) {
            queue->commit(id);
        } else {
            queue->add(prompt(id, *rc::gen::inRange(1, 90), now, *rc::gen::inRange(0, 3)));
            present.insert(id);
        }
        std::multiset<PromptId> offered;
        for (auto const& next : queue->next(now, 100))
            offered.insert(next.id);
        RC_ASSERT(offered == std::multiset<PromptId>(present.begin(), present.end()));
        RC_ASSERT(queue->size() == present.size());
    }
}

}

}
