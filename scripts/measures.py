#!/usr/bin/env python3
"""Prints the newest score of each site in the journal as a table.

    scripts/measures.py [SITE...]

Each standard day is a row: score, worth, shares, and the largest prices.
"""
import glob
import json
import sys


def newest_score_runs():
    found = {}
    for path in sorted(glob.glob("journal/2026*.json")):
        with open(path, encoding="utf-8") as entry:
            run = json.load(entry)
        if run.get("cmd") == "score" and run.get("days"):
            found[run["site"]] = run
    return found


def format_prices(day, rows_max=3):
    rows = sorted(day.get("prices", []), key=lambda row: -abs(row[-1]))
    return ", ".join(f"{row[0]} {abs(row[-1]):.3f}" for row in rows[:rows_max])


def print_table(site, run):
    print(f"\n**{site}** (run {run['id']}, score {run['score']:.3f})\n")
    print("| day | score | worth | served | refused | failed | "
          "worst windows | largest prices |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for day in run["days"]:
        parts = {part[0]: part[2] for part in day.get("parts", [])}
        broken = " BROKEN" if day.get("rules") else ""
        print(f"| {day['name']}{broken} | {day.get('score') or 0:.2f} | "
              f"{day['G']:.3f} | {day['served']:.3f} | "
              f"{day['refused']:.3f} | {day['failed']:.3f} | "
              f"{parts.get('worst windows', 0):.2f} | {format_prices(day)} |")


wanted_sites = sys.argv[1:]
for name, newest in sorted(newest_score_runs().items()):
    if not wanted_sites or name in wanted_sites:
        print_table(name, newest)
