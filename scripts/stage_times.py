#!/usr/bin/env python3
"""Says how long prompts take in each stage, by what is read of them, from our structured logs.

usage: stage_times.py LOG... [--from MS] [--until MS]
LOG holds our JSON lines, with or without text before them. Prompts that were read apart are grouped by the tokens that
were to be read and by the time that the caller had left. Printed for each group: prompts, share that copied, median and
worst tenth (ms) of the reading (from sending it to the hand-over), and of the rest (from the hand-over to the last event).
--from and --until bound the time_ms of the prompt's first line.
"""
import argparse
import collections
import json
import sys

SIZES = (1000, 2000, 4000, 8000, 12000, 16000, 24000, 32000)


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0


def read_requests(lines):
    """Request id -> its lines in order of time; what is no event line of ours is passed over."""
    requests = collections.defaultdict(list)
    for line in lines:
        start = line.find('{"time_ms"')
        if start < 0:
            continue
        try:
            entry = json.loads(line[start:])
        except json.JSONDecodeError:
            continue  # Cut off, or two processes wrote at once.
        if entry.get("request") and entry.get("name") in ("request_routed", "request_answered"):
            requests[entry["request"]].append(entry)
    for entries in requests.values():
        entries.sort(key=lambda entry: entry["time_ms"])
    return requests


def group_stages(requests, first_ms, last_ms):
    """(seconds left to the caller, tokens at most) -> lists of reading, rest and copied."""
    groups = collections.defaultdict(lambda: {"reading": [], "rest": [], "copied": []})
    for entries in requests.values():
        first = entries[0]
        if first.get("mode") != "prefill" or not first_ms <= first["time_ms"] < last_ms:
            continue
        tokens = next((size for size in SIZES if first["tokens_to_read"] <= size), 10**9)
        group = groups[(round(first["left_ms"] / 1000), tokens)]
        group["copied"].append(1 if first["copy_from"] else 0)
        handed_over = [entry for entry in entries if entry.get("mode") == "continue"]
        answered = [entry for entry in entries if entry["name"] == "request_answered"]
        if handed_over:
            group["reading"].append(handed_over[0]["time_ms"] - first["time_ms"])
        if handed_over and answered:
            group["rest"].append(answered[-1]["time_ms"] - handed_over[-1]["time_ms"])
    return groups


def table(groups):
    lines = ["| s left | tokens | prompts | copied | reading, ms: median, worst tenth | rest, ms |", "| --- | --- | --- | --- | --- | --- |"]
    for (left, tokens), group in sorted(groups.items()):
        size = f"<= {tokens}" if tokens < 10**9 else f"> {SIZES[-1]}"
        share = sum(group["copied"]) / len(group["copied"])
        cells = [f"{percentile(group[stage], 0.5)}, {percentile(group[stage], 0.9)}" for stage in ("reading", "rest")]
        lines.append(f"| {left} | {size} | {len(group['copied'])} | {share:.2f} | {cells[0]} | {cells[1]} |")
    return lines


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", nargs="+")
    parser.add_argument("--from", dest="first_ms", type=int, default=0)
    parser.add_argument("--until", dest="last_ms", type=int, default=2**62)
    args = parser.parse_args()
    requests = {}
    for path in args.logs:
        with open(path, encoding="utf-8", errors="replace") as file:
            requests.update(read_requests(file))
    print("\n".join(table(group_stages(requests, args.first_ms, args.last_ms))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
