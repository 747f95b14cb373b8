#!/usr/bin/env python3
"""Plays a panel of days on the users' bench and prints their mean worth.

    scripts/panel.py WHY [--sites base|grown|all] [--days A,B] [--seeds 1,2]
                     [--jobs N] [--cpu] [--runs REPEAT]

For paired trials: the same days and seeds, without processor time unless
--cpu is given, in several processes. Every run leaves its journal entry.
Needs the users' kit beside the checkout; see docs/MEASURES.md.
"""
import argparse
import concurrent.futures
import json
import os
import re
import subprocess
import sys

KIT = "../given/kit/more/system"
SITES = {
    "base": ["sites/coldlink-suva", "sites/funkbuch-ost"],
    "grown": ["grown/coldlink-suva-grown", "grown/funkbuch-ost-grown"],
}
PRICES_SHOWN = 3


def play(job):
    site, day, seed, why, cpu = job
    command = [f"{KIT}/bin/fleetbench", "run", f"{KIT}/{site}.toml", day,
               "--why", why]
    if seed:
        command += ["--seed", seed]
    if not cpu:
        command.append("--no-cpu")
    done = subprocess.run(command, capture_output=True, text=True,
                          check=False)
    found = re.search(r"^snapshot ([0-9a-f]+)", done.stdout, re.M)
    if not found:
        return job, None, done.stdout[-400:] + done.stderr[-400:]
    return job, day_of(found.group(1)), ""


def day_of(snapshot):
    for name in sorted(os.listdir("journal"), reverse=True):
        if name.endswith(f"-{snapshot}.json"):
            with open(f"journal/{name}", encoding="utf-8") as entry:
                days = json.load(entry)["days"]
                return days[0] if days else None
    return None


def row(job, day):
    site, name, seed, _, _ = job
    prices = sorted(day["prices"], key=lambda price: -abs(price[-1]))
    shown = ", ".join(f"{price[0]} {abs(price[-1]):.3f}"
                      for price in prices[:PRICES_SHOWN])
    broken = " BROKEN" if day.get("rules") else ""
    return (f"{site.split('/')[1]:20} {name:10} {seed or '-':4} "
            f"worth {day['G']:.3f} served {day['served']:.3f} "
            f"refused {day['refused']:.3f} failed {day['failed']:.3f} "
            f"({shown}){broken}")


def main():
    reader = argparse.ArgumentParser()
    reader.add_argument("why")
    reader.add_argument("--sites", default="grown")
    reader.add_argument("--days", default="quiet-1,scale-1,scale-2")
    reader.add_argument("--seeds", default="")
    reader.add_argument("--jobs", type=int, default=6)
    reader.add_argument("--cpu", action="store_true")
    options = reader.parse_args()
    sites = (SITES["base"] + SITES["grown"] if options.sites == "all"
             else SITES[options.sites])
    jobs = [(site, day, seed, options.why, options.cpu)
            for site in sites for day in options.days.split(",")
            for seed in options.seeds.split(",")]
    totals = {}
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for job, day, trouble in pool.map(play, jobs):
            if day is None:
                print(f"{job[0]} {job[1]}: not played: {trouble}")
                continue
            print(row(job, day))
            totals.setdefault(job[0], []).append(day["G"])
    for site, worths in totals.items():
        print(f"{site.split('/')[1]:20} mean {sum(worths)/len(worths):.4f} "
              f"of {len(worths)}")
    every = [worth for worths in totals.values() for worth in worths]
    if every:
        print(f"all {sum(every) / len(every):.4f}")
    return 0 if every else 1


if __name__ == "__main__":
    sys.exit(main())
