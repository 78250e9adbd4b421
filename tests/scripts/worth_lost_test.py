"""The table of lost worth must add up and name our own causes."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import worth_lost  # noqa: E402

KIND = {"name": "digest", "n": 200, "in_aim": 100, "late": 50, "refused": 40, "failed": 10, "worth": 0.575}
EMPTY = {"name": "none", "n": 0, "in_aim": 0, "late": 0, "refused": 0, "failed": 0, "worth": 0.0}


class WorthLostTest(unittest.TestCase):
    def test_shares_of_a_kind_add_up(self):
        (row,) = worth_lost.rows_of([KIND])
        self.assertEqual(row[:2], ("digest", 200))
        self.assertAlmostEqual(sum(row[2:6]), 1.0)

    def test_a_kind_without_requests_divides_by_nothing(self):
        self.assertIn("| none | 0 | 0.000 |", worth_lost.table("kind", [EMPTY])[2])

    def test_only_dear_prices_are_named_dearest_first(self):
        report = {"prices": [["a", 1, 0.004], ["b", 1, 0.02], ["c", 1, 0.3]]}
        self.assertEqual(worth_lost.prices(report), ["- 0.300 c", "- 0.020 b"])

    def test_causes_come_from_our_lines_alone(self):
        line = '  1.25 front-1 {"time_ms":1,"name":"request_refused","cause":"no prefill capacity"}'
        counts = worth_lost.causes([line, line, "seen 3 requests", '{"time_ms":1,"name":"request_ref'])
        self.assertEqual(counts[("request_refused", "no prefill capacity")], 2)
        self.assertEqual(sum(counts.values()), 2)


if __name__ == "__main__":
    unittest.main()
