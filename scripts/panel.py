#!/usr/bin/env python3
"""Runs several days on the users' bench and prints their mean worth.

    scripts/panel.py WHY [--sites GROUP,GROUP] [--days A,B] [--seeds 1,2]
                     [--jobs N] [--cpu] [--brief]
                     [--save FILE] [--against FILE]

--save writes the worth of each run to a file; --against prints the mean
difference to such a file and its standard error, over the runs in both.

Meant for paired trials, which use the same days and seeds. The runs go in
several processes and leave processor time out unless --cpu is given. Every run
writes a journal entry. Needs the users' kit beside the checkout; see
docs/MEASURES.md.
"""
import argparse
import concurrent.futures
import json
import os
import re
import statistics
import subprocess
import sys

KIT = "../given/kit/more/system"
BENCH = f"{KIT}/more/bench-0d00f8/bin/fleetbench"
SITES = {
    "further": ["further/sufra-amman"],
    "base": ["sites/coldlink-suva", "sites/funkbuch-ost"],
    "further-grown": ["further-grown/sufra-amman-grown"],
    "grown": ["grown/coldlink-suva-grown", "grown/funkbuch-ost-grown"],
}
TROUBLE_DAYS = "trouble-1,scale-1,trouble-2,scale-2,trouble-3"
PRICES_SHOWN = 3


def run_day(job):
    site, day, seed, why, cpu = job
    command = [BENCH, "run", f"{KIT}/{site}.toml", day,
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
    return job, first_day_of_entry(found.group(1)), ""


def first_day_of_entry(snapshot):
    for name in sorted(os.listdir("journal"), reverse=True):
        if name.endswith(f"-{snapshot}.json"):
            with open(f"journal/{name}", encoding="utf-8") as entry:
                days = json.load(entry)["days"]
                return days[0] if days else None
    return None


def format_row(job, day):
    site, name, seed, _, _ = job
    prices = sorted(day["prices"], key=lambda price: -abs(price[-1]))
    shown = ", ".join(f"{price[0]} {abs(price[-1]):.3f}"
                      for price in prices[:PRICES_SHOWN])
    broken = " BROKEN" if day.get("rules") else ""
    return (f"{site.split('/')[1]:20} {name:10} {seed or '-':4} "
            f"worth {day['G']:.3f} served {day['served']:.3f} "
            f"refused {day['refused']:.3f} failed {day['failed']:.3f} "
            f"({shown}){broken}")


def print_means(totals):
    for (site, day), worths in sorted(totals.items()):
        spread = max(worths) - min(worths)
        print(f"{site.split('/')[1]:20} {day:10} mean "
              f"{sum(worths) / len(worths):.4f} spread {spread:.3f}")
    for site in sorted({site for site, _ in totals}):
        worths = [worth for (other, _), day_worths in totals.items()
                  if other == site for worth in day_worths]
        print(f"{site.split('/')[1]:20} mean {sum(worths)/len(worths):.4f} "
              f"of {len(worths)}")


def print_difference(worths, path):
    with open(path, encoding="utf-8") as file:
        before = json.load(file)
    for site in sorted({key.split(" ")[0] for key in worths}):
        differences = [worths[key] - before[key] for key in worths
                       if key in before and key.startswith(site + " ")]
        if len(differences) < 2:
            continue
        error = statistics.stdev(differences) / len(differences) ** 0.5
        print(f"{site:20} difference {statistics.mean(differences):+.4f} "
              f"+- {error:.4f} over {len(differences)}")


def main():
    reader = argparse.ArgumentParser()
    reader.add_argument("why")
    reader.add_argument("--sites", default="further")
    reader.add_argument("--days", default=TROUBLE_DAYS)
    reader.add_argument("--seeds", default="")
    reader.add_argument("--jobs", type=int, default=6)
    reader.add_argument("--cpu", action="store_true")
    reader.add_argument("--brief", action="store_true")
    reader.add_argument("--save")
    reader.add_argument("--against")
    options = reader.parse_args()
    groups = SITES if options.sites == "all" else options.sites.split(",")
    sites = [site for group in groups for site in SITES[group]]
    jobs = [(site, day, seed, options.why, options.cpu)
            for site in sites for day in options.days.split(",")
            for seed in options.seeds.split(",")]
    totals, worths = {}, {}
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for job, day, error in pool.map(run_day, jobs):
            if day is None:
                print(f"{job[0]} {job[1]}: not run: {error}")
                continue
            if not options.brief or day.get("rules"):
                print(format_row(job, day))
            totals.setdefault((job[0], job[1]), []).append(day["G"])
            worths[f"{job[0]} {job[1]} {job[2]}"] = day["G"]
    print_means(totals)
    if options.against:
        print_difference(worths, options.against)
    if options.save:
        with open(options.save, "w", encoding="utf-8") as file:
            json.dump(worths, file)
    return 0 if totals else 1


if __name__ == "__main__":
    sys.exit(main())
