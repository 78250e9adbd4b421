#!/usr/bin/env python3
"""Says where a day's worth was lost, from a report of the users' bench.

usage: worth_lost.py REPORT [--log LOG]
REPORT is what the bench writes with --report. Prints a table by kind of request (shares of that kind's requests: late,
refused, failed), one by two-second window, the prices above 0.01, and, with LOG (our structured log lines, with or
without what the bench puts before them), our own causes of refusals, failures and retries. An operator without the
bench has the last part from the logs alone: worth_lost.py - --log LOG.
"""
import argparse
import collections
import json
import sys

LEAST_PRICE = 0.01
CAUSES = ("request_refused", "request_failed", "request_broken_off", "request_retried", "engine_ejected")


def share(part, whole):
    return part / whole if whole else 0.0


def rows_of(entries):
    for entry in entries:
        n = entry["n"]
        yield (entry["name"], n, share(entry["in_aim"], n), share(entry["late"], n), share(entry["refused"], n),
               share(entry["failed"], n), entry["worth"])


def table(title, entries):
    lines = [f"| {title} | requests | in time | late | refused | failed | worth |", "| --- | --- | --- | --- | --- | --- | --- |"]
    for name, n, *shares in rows_of(entries):
        lines.append(f"| {name} | {n} | " + " | ".join(f"{value:.3f}" for value in shares) + " |")
    return lines


def prices(report):
    dear = sorted(((entry[2], entry[0]) for entry in report["prices"] if entry[2] >= LEAST_PRICE), reverse=True)
    return [f"- {amount:.3f} {what}" for amount, what in dear]


def causes(lines):
    """Counts our own decisions by event and cause; lines that are not ours are passed over."""
    counts = collections.Counter()
    for line in lines:
        start = line.find('{"time_ms"')
        if start < 0:
            continue
        try:
            entry = json.loads(line[start:])
        except json.JSONDecodeError:
            continue  # Cut off by the end of the run.
        if entry.get("name") in CAUSES:
            counts[entry["name"], entry.get("cause", "")] += 1
    return counts


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("report"), parser.add_argument("--log")
    args = parser.parse_args()
    out = []
    if args.report != "-":
        with open(args.report, encoding="utf-8") as file:
            report = json.load(file)
        out += table("kind", report["classes"]) + [""] + table("window, s", report["windows"]) + [""] + prices(report)
    if args.log:
        with open(args.log, encoding="utf-8", errors="replace") as file:
            counts = causes(file)
        out += ["", "| event | cause | count |", "| --- | --- | --- |"]
        out += [f"| {event} | {cause} | {count} |" for (event, cause), count in counts.most_common()]
    print("\n".join(out))
    return 0


if __name__ == "__main__":
    sys.exit(main())
