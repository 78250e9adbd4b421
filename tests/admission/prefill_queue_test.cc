// Which of the waiting prompts goes next, by each order.
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

PromptId first(PrefillQueue& order, Time now) { return order.next(now, 1).at(0).id; }

TEST(WorthOrderTest, CheapPromptsOfTheMostUrgentRouteGoFirst)
{
    auto const order = make_prefill_queue(QueuePolicy::ValuePerCost);
    order->add(prompt(1, 40));
    order->add(prompt(2, 10));
    order->add(prompt(3, 1, Time { 10s }, 1));
    EXPECT_EQ(first(*order, Time { 2s }), 2U);
    order->remove(2);
    EXPECT_EQ(first(*order, Time { 2s }), 1U);
    order->remove(1);
    EXPECT_EQ(first(*order, Time { 2s }), 3U);
}

TEST(WorthOrderTest, WhatMissesItsObjectiveGoesAfterWhatDoesNotByArrival)
{
    auto const order = make_prefill_queue(QueuePolicy::ValuePerCost);
    order->add(prompt(1, 40, Time { 3s }));
    order->add(prompt(2, 10, Time { 3s }));
    order->add(prompt(3, 90));
    auto const found = order->next(Time { 4s }, 8);
    ASSERT_EQ(found.size(), 3U);
    EXPECT_EQ(found[0].id, 3U);
    EXPECT_EQ(found[1].id, 1U);
    EXPECT_EQ(found[1].lane, Lane::Late);
    EXPECT_EQ(found[2].id, 2U);
}

TEST(WorthOrderTest, WhatIsCommittedIsNotOvertaken)
{
    auto const order = make_prefill_queue(QueuePolicy::ValuePerCost);
    order->add(prompt(1, 40, Time { 3s }));
    order->commit(1);
    order->add(prompt(2, 10));
    EXPECT_EQ(first(*order, Time { 2s }), 1U);
    EXPECT_EQ(first(*order, Time { 4s }), 1U); // Even past its time: it was promised.
    EXPECT_EQ(order->committed(), 1U);
    order->remove(1);
    EXPECT_EQ(order->committed(), 0U);
}

TEST(ArrivalOrderTest, GoesByArrivalWhateverThePromptsCost)
{
    auto const order = make_prefill_queue(QueuePolicy::FirstComeFirstServed);
    order->add(prompt(2, 1));
    order->add(prompt(1, 90));
    EXPECT_EQ(first(*order, Time { 2s }), 1U);
}

// Whatever is added, committed and removed, each prompt that is left is offered exactly once.
RC_GTEST_PROP(PrefillQueueProperty, NoPromptIsLostOrOfferedTwice, ())
{
    auto const policy = *rc::gen::element(QueuePolicy::ValuePerCost, QueuePolicy::FirstComeFirstServed);
    auto const order = make_prefill_queue(policy);
    std::set<PromptId> present;
    auto const steps = *rc::gen::inRange(1, 60);
    for (auto i = 0; i < steps; ++i) {
        auto const id = *rc::gen::inRange<PromptId>(1, 12);
        auto const now = Time { std::chrono::seconds(*rc::gen::inRange(1, 8)) };
        auto const step = *rc::gen::inRange(0, 4);
        if (step == 0) {
            order->remove(id);
            present.erase(id);
        } else if (step == 1) {
            order->commit(id);
        } else {
            order->add(prompt(id, *rc::gen::inRange(1, 90), now, *rc::gen::inRange(0, 3)));
            present.insert(id);
        }
        std::multiset<PromptId> offered;
        for (auto const& next : order->next(now, 100))
            offered.insert(next.id);
        RC_ASSERT(offered == std::multiset<PromptId>(present.begin(), present.end()));
        RC_ASSERT(order->size() == present.size());
    }
}

}

}
