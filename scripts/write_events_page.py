#!/usr/bin/env python3
"""Prints docs/EVENTS.md from the catalogue. A test checks the committed page."""
import os
import re

root = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
with open(os.path.join(root, "src/base/event_catalogue.h"), encoding="utf-8") as header:
    numbers = dict(re.findall(r"(k\w+) = (\d+),", header.read()))
with open(os.path.join(root, "src/base/event_catalogue.cc"), encoding="utf-8") as source:
    # A long literal is written in several adjacent pieces.
    text = re.sub(r'"\s*\n\s*"', "", source.read())
    rows = re.findall(r'\{(k\w+), (k\w+), "(\w+)",\s*"([^"]+)",\s*"([^"]+)"\}', text)
print("# Log events\n")
print("Made by `scripts/write_events_page.py`; a test fails when it is out of date.")
print("Each line on standard error carries the number, the level, the name and details.\n")
print("| number | name | meaning | remedy |")
print("| --- | --- | --- | --- |")
for identifier, _, name, meaning, remedy in rows:
    print(f"| SQ{numbers[identifier]} | {name} | {meaning} | {remedy} |")
