"""The soak's own checks must notice each breach, or its silence means nothing."""

import argparse
import asyncio
import io
import random
import signal
import tempfile
import time
import unittest

from soak import Soak
from soak_gateway import Gateway
from soak_truth import LIMIT_WINDOW_S, LIMITS, RECOVER, Truth
from soak_world import DutyPlatform, Engine, Store


def soak():
    return Soak(argparse.Namespace(seed=1, seconds=1, gateways=1, program=""), "", io.StringIO())


def stream(numbers, request, end=b"0\r\n\r\n"):
    events = b"".join(f"id: {number}\ndata: {request}\n\n".encode() for number in numbers)
    return f"HTTP/1.1 200 OK\r\nX-Server-Stamp: e.{request}\r\n\r\n".encode() + events + end


class SoakCheckTest(unittest.TestCase):
    def test_work_that_may_run_once_and_ran_twice(self):
        truth = Truth()
        truth.ran("r", b"ask r")
        truth.ran("r", b"ask r")
        truth.told["r"] = ("once", "served")
        truth.check()
        self.assertEqual(len(truth.breaks), 1)

    def test_refused_work_that_ran(self):
        truth = Truth()
        truth.ran("r", b"ask r")
        truth.told["r"] = ("lone", "refused")
        truth.check()
        self.assertEqual(len(truth.breaks), 1)

    def test_a_request_that_ends_engines_and_is_sent_on(self):
        truth = Truth()
        fatal = truth.fatal(b"fatal 1")
        fatal.ends = [1.0, 2.0, 3.0, 7.0]
        fatal.runs = [0.9, 1.9, 2.9, 5.9, 6.1, 6.2, 6.3]
        truth.check()
        self.assertEqual(truth.breaks, [])
        fatal.runs.append(6.4)
        truth.check()
        self.assertEqual(len(truth.breaks), 1)

    def test_a_tenant_over_its_limit_in_some_window(self):
        truth = Truth()
        limit = LIMITS["of-requests"]
        allowed = int(limit.most_in_window())
        head = {"x-tenant": "of-requests"}
        for number in range(allowed):
            truth.charged(number * LIMIT_WINDOW_S / allowed, f"r{number}", head)
            truth.charged(number * LIMIT_WINDOW_S / allowed, f"r{number}", head)  # A second try counts once.
        truth.check()
        self.assertEqual(truth.breaks, [])
        truth.charged(LIMIT_WINDOW_S * 0.999, "one more", head)
        truth.check()
        self.assertEqual(len(truth.breaks), 1)

    def test_tokens_count_by_the_request(self):
        truth = Truth()
        truth.charged(1, "r1", {"x-tenant": "of-tokens", "x-token-count": "300,64"})
        truth.charged(2, "r2", {"x-tenant": "of-tokens"})
        truth.charged(2, "r3", {"x-tenant": "tenant-1"})
        self.assertEqual(truth.limited["of-tokens"].worst_window(), (364 + LIMITS["of-tokens"].plain, 2))

    def test_a_limit_that_is_told_to_a_tenant_without_one(self):
        run = soak()
        run.truth.tenants.update({"r1": "of-tokens", "r2": "tenant-1"})
        over = b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
        self.assertEqual(run.judge("safe", "r1", over), "refused")
        self.assertEqual(run.truth.breaks, [])
        run.judge("safe", "r2", over)
        self.assertEqual(len(run.truth.breaks), 1)

    def test_a_changed_body(self):
        truth = Truth()
        truth.ran("r", b"ask other")
        self.assertEqual(len(truth.breaks), 1)

    def test_an_answer_of_another_or_without_signature(self):
        run = soak()
        run.judge("safe", "r1", b"HTTP/1.1 200 OK\r\nX-Server-Stamp: e.r2\r\n\r\ndone r2")
        run.judge("safe", "r1", b"HTTP/1.1 200 OK\r\n\r\ndone r1")
        self.assertEqual(len(run.truth.breaks), 3)

    def test_streams_with_gaps_doubles_or_foreign_events(self):
        run = soak()
        self.assertEqual(run.judge("chat", "r", stream(range(1, 9), "r")), "served")
        self.assertEqual(run.judge("chat", "r", stream(range(1, 5), "r", b"")), "stream cut")
        self.assertEqual(run.truth.breaks, [])
        run.judge("chat", "r", stream([1, 2, 4, 5, 6, 7, 8], "r"))
        run.judge("chat", "r", stream([1, 2, 2, 3, 4, 5, 6, 7, 8], "r"))
        self.assertGreaterEqual(len(run.truth.breaks), 2)

    def test_a_configuration_that_is_late_at_a_gateway_in_touch(self):
        truth, gateway = Truth(), argparse.Namespace(name="g", life=1, calm_since=90.0)
        truth.acknowledged = {1: 100.0}
        truth.probed(gateway, 1, 404, 102.0)  # Not yet due.
        gateway.calm_since = 101.0
        truth.probed(gateway, 1, 404, 103.0)  # Disturbed lately.
        self.assertEqual(truth.breaks, [])
        gateway.calm_since = 90.0
        truth.probed(gateway, 1, 404, 103.0)
        self.assertEqual(len(truth.breaks), 1)

    def test_a_gateway_that_goes_back_to_an_older_configuration(self):
        truth = Truth()
        truth.acknowledged = {4: 0.0, 5: 0.0, 6: 0.0}
        gateway = argparse.Namespace(name="g", life=1, calm_since=0.0)
        truth.probed(gateway, 5, 200, 0.0)
        truth.probed(gateway, 6, 404, 0.0)  # Not heard of yet.
        self.assertEqual(truth.breaks, [])
        truth.probed(gateway, 4, 404, 0.0)
        self.assertEqual(len(truth.breaks), 1)
        gateway.life = 2  # A new process may begin with less.
        truth.probed(gateway, 4, 404, 0.0)
        self.assertEqual(len(truth.breaks), 1)

    def test_a_process_that_ends_by_itself(self):
        with tempfile.TemporaryDirectory() as folder:
            gateway = Gateway("", folder, 0, 0, 0, [])
            self.addCleanup(gateway.log.close)
            for code, early, expected in [(0, set(), False), (-signal.SIGKILL, set(), False), (1, set(), True),
                                          (-signal.SIGSEGV, {signal.SIGTERM}, True), (-signal.SIGTERM, set(), True),
                                          (-signal.SIGTERM, {signal.SIGTERM}, False)]:
                gateway.process, gateway.early_signals = argparse.Namespace(returncode=code), early
                self.assertEqual(gateway.ended_by_itself(), expected, (code, early))

    def test_a_signal_is_early_until_the_process_writes(self):
        with tempfile.TemporaryDirectory() as folder:
            gateway = Gateway("sleep", folder, 0, 0, 0, [])
            self.addCleanup(gateway.log.close)
            gateway.process = argparse.Namespace(poll=lambda: None, send_signal=lambda number: None)
            gateway.send(signal.SIGTERM)
            gateway.log.write(b"a line\n")
            gateway.log.flush()
            gateway.send(signal.SIGHUP)
            self.assertEqual(gateway.early_signals, {signal.SIGTERM})

    def test_too_few_requests_served(self):
        truth = Truth()
        truth.counts = {"served": 25, "refused": 75}
        truth.check()
        self.assertEqual(truth.breaks, [])
        truth.counts["refused"] += 1
        truth.check()
        self.assertEqual(len(truth.breaks), 1)

    def test_refusals_count_unless_no_gateway_could_know_a_configuration(self):
        truth, store = Truth(), Store()
        gateways = [argparse.Namespace(name=name, life=1) for name in ("a", "b")]
        store.set_available(False)
        self.assertTrue(truth.nothing_is_known(gateways, store))
        truth.told_outcome("r", "safe", "served", gateways[0], 1)
        self.assertFalse(truth.nothing_is_known(gateways, store))
        gateways[0].life = 2
        self.assertTrue(truth.nothing_is_known(gateways, store))
        store.set_available(True)
        store.answers_since -= RECOVER
        store.set_available(True)  # It has answered all along.
        self.assertFalse(truth.nothing_is_known(gateways, store))

    def test_gateways_that_answer_late_take_no_time_from_the_others(self):
        made, asked = soak(), {}
        made.gateways = ["a", "b", "c", "d"]

        async def answer_late(gateway, *_):
            await asyncio.sleep(0.3)
            asked[gateway] = asked.get(gateway, 0) + 1
            return 200 if asked[gateway] > 1 else 504

        made.status_of = answer_late
        self.assertTrue(asyncio.run(made.is_served_everywhere("of-tokens", time.monotonic() + 1.5)))
        self.assertEqual(asked, dict.fromkeys(made.gateways, 2))

    def test_a_gateway_that_never_serves_a_tenant(self):
        made = soak()
        made.gateways = ["a", "b"]

        async def answer(gateway, *_):
            return 200 if gateway == "a" else 429

        made.status_of = answer
        self.assertFalse(asyncio.run(made.is_served_everywhere("of-tokens", time.monotonic() + 0.5)))

    def test_two_holders_of_one_token(self):
        truth = Truth()
        engine = Engine("e", "model", "decode", truth, random.Random(1))
        engine.fence = (5, "a")
        engine._order({"fencing_token": 5, "holder": "b", "expect_revision": 9, "stage": "prefill"})
        self.assertEqual(len(truth.breaks), 1)

    def test_a_key_that_goes_on_and_a_wrong_tenant(self):
        truth = Truth()
        truth.tenants["r"] = "tenant-1"
        truth.named("r", {"x-tenant": "tenant-1"})
        self.assertEqual(truth.breaks, [])
        truth.named("r", {"x-tenant": "tenant-1", "x-other": "secret-of-1"})
        truth.named("r", {"x-tenant": "tenant-2"})
        truth.named("r", {})
        self.assertEqual(len(truth.breaks), 3)

    def test_two_reports_of_one_window_and_two_holders_of_one_duty_token(self):
        truth = Truth()
        platform = DutyPlatform(truth, random.Random(1))
        head = {"x-fencing-token": "5", "x-duty-holder": "a"}
        self.assertEqual(platform.take(head, {"window_number": 7, "counts": {"t": 1}}), 200)
        self.assertEqual(platform.take(head, {"window_number": 7, "counts": {"t": 1}}), 200)
        self.assertEqual(truth.breaks, [])
        platform.take(head, {"window_number": 7, "counts": {"t": 2}})
        platform.take({**head, "x-duty-holder": "b"}, {"window_number": 8, "counts": {}})
        self.assertEqual(len(truth.breaks), 2)
        self.assertEqual(platform.take({**head, "x-fencing-token": "4"}, {"window_number": 9, "counts": {}}), 409)


if __name__ == "__main__":
    unittest.main()
