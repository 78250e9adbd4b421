"""Stages of prompts are told from lines of logs, and odd lines do not hurt."""

import json
import os
import subprocess
import sys
import tempfile
import unittest

SCRIPT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "stage_times.py")


def line(time_ms, name, request, **members):
    return "12.5 node-1 " + json.dumps({"time_ms": time_ms, "name": name, "request": request, **members})


def routed(time_ms, request, mode, tokens=900, copy_from=""):
    return line(time_ms, "request_routed", request, mode=mode, tokens_to_read=tokens, copy_from=copy_from, left_ms=5990)


class StageTimesTest(unittest.TestCase):
    def run_script(self, lines, *arguments):
        with tempfile.NamedTemporaryFile("w", suffix=".log") as log:
            log.write("\n".join(lines))
            log.flush()
            return subprocess.run([sys.executable, SCRIPT, log.name, *arguments], capture_output=True, text=True, check=True).stdout

    def test_readings_and_what_follows(self):
        lines = ["noise", '{"time_ms": cut', routed(100, "a", "prefill", copy_from="1.1.1.1:1"), routed(160, "a", "continue"),
                 line(300, "request_answered", "a", status=200), routed(200, "b", "prefill", tokens=9000),
                 routed(700, "c", "whole")]
        out = self.run_script(lines)
        self.assertIn("| 6 | <= 1000 | 1 | 1.00 | 60, 60 | 140, 140 |", out)
        self.assertIn("| 6 | <= 12000 | 1 | 0.00 | 0, 0 | 0, 0 |", out)  # It was never handed over.

    def test_only_the_time_that_is_asked_for(self):
        out = self.run_script([routed(100, "a", "prefill"), routed(900, "b", "prefill")], "--from", "500")
        self.assertIn("| 6 | <= 1000 | 1 |", out)


if __name__ == "__main__":
    unittest.main()
