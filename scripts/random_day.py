#!/usr/bin/env python3
"""Writes a day for the users' bench with disruptions drawn at random.

    scripts/random_day.py SEED ENGINES PLAIN > DAY.toml

ENGINES and PLAIN name the site's services. Every kind that the bench lists
for these contracts may come, with its variants, alone or together, twice.
"""
import random
import sys

seed, engines, plain = int(sys.argv[1]), sys.argv[2], sys.argv[3]
draw = random.Random(seed)


def share(low=0.1, high=0.6):
    return round(draw.uniform(low, high), 2)


def span(low=1.5, high=7.0):
    return round(draw.uniform(low, high), 1)


def how(*variants):
    return draw.choice(variants)


FAULTS = [
    lambda: dict(kind="burst", x=draw.uniform(1.3, 2.3), for_s=span()),
    lambda: dict(kind="retry_abuse", share=share(), x=3.0, for_s=span()),
    lambda: dict(kind="give_up", share=share(), for_s=span()),
    lambda: dict(kind="srv_crash", service=how(engines, plain),
                 share=share(0.1, 0.35), for_s=span(),
                 how=how("", "dark", "gone")),
    lambda: dict(kind="srv_grey", service=how(engines, plain),
                 share=share(0.1, 0.4), x=share(0.2, 0.7), for_s=span(),
                 how=how("errors", "shed", "busy", "hang", "reset", "mute",
                         "slow", "errors one_zone", "mute one_zone")),
    lambda: dict(kind="answer_lost", share=share(), x=share(0.02, 0.4),
                 for_s=span(), how=how("", "reset")),
    lambda: dict(kind="garble", share=share(), x=share(0.02, 0.3),
                 for_s=span(), how=how("", "extra", "extra late", "unframed",
                                       "early")),
    lambda: dict(kind="node_kill", share=share(0.1, 0.4), for_s=span(),
                 how=how("", "power")),
    lambda: dict(kind="node_slow", share=share(0.1, 0.4), x=5.0, for_s=span()),
    lambda: dict(kind="herd_kill", share=share(0.4, 0.9), for_s=2.0,
                 how=how("", "power")),
    lambda: dict(kind="clock_step", share=share(), x=2400.0, for_s=span(),
                 how=how("ahead", "back")),
    lambda: dict(kind="reset_conns", share=share(), x=share()),
    lambda: dict(kind="zone_cut", for_s=span(), how=how("drop", "reset")),
    lambda: dict(kind="node_cut", share=share(0.1, 0.3), for_s=span(),
                 how=how("", "all", "servers")),
    lambda: dict(kind="core_cut", count=1, for_s=span(),
                 how=how("", "all", "near", "leader", "giver")),
    lambda: dict(kind="lossy", x=share(0.01, 0.06), for_s=span()),
    lambda: dict(kind="platform_down", for_s=span(),
                 how=how("silent", "busy", "reset", "nodes busy",
                         "nodes many", "nodes reset", "nodes silent")),
    lambda: dict(kind="platform_slow", x=50.0, for_s=span()),
    lambda: dict(kind="platform_lost", x=share(), for_s=span(),
                 how=how("", "late")),
    lambda: dict(kind="platform_compact", x=5.0, for_s=span(),
                 how=how("", "drain")),
    lambda: dict(kind="applied_late", x=share(), for_s=span()),
    lambda: dict(kind="kv_slow", share=share(), for_s=span(),
                 service=engines),
    lambda: dict(kind="handle_short", share=share(), for_s=span(),
                 service=engines),
    lambda: dict(kind="srv_slow", share=share(0.1, 0.4), x=4.0, for_s=span()),
    lambda: dict(kind="srv_cut", share=share(0.1, 0.4), for_s=span(),
                 how=how("", "fronts", "some", "one_way", "reset")),
    lambda: dict(kind="replace_with_reuse", share=share(0.1, 0.25),
                 how=how("", "drain", "dark")),
    lambda: dict(kind="node_freeze", share=share(0.1, 0.4),
                 for_s=span(0.5, 4)),
    lambda: dict(kind="after_ack_kill", for_s=3.0, how=how("kill", "timed")),
]
PLAN = [
    lambda: dict(kind="release", share=share(), x=1.0, gap_s=1.0),
    lambda: dict(kind="scale_out", share=share(0.1, 0.4), gap_s=2.0),
    lambda: dict(kind="scale_in", share=share(0.1, 0.25)),
    lambda: dict(kind="roll_term", share=share(0.3, 1.0), x=1.0,
                 gap_s=span(1, 3), how=how("", "busy")),
    lambda: dict(kind="hup", share=share(), gap_s=0.5),
    lambda: dict(kind="config_change",
                 how=how("route", "weights", "timeout", "idle")),
    lambda: dict(kind="config_storm", for_s=span(), gap_s=share(0.1, 0.5)),
    lambda: dict(kind="big_config", count=draw.randint(50, 400)),
    lambda: dict(kind="add_nodes", share=share(0.3, 0.9)),
]


def write(value):
    if isinstance(value, str):
        return f'"{value}"'
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def rows(makers, least, most):
    out = []
    for _ in range(draw.randint(least, most)):
        row = dict(at=round(draw.uniform(0.5, 30.0), 1))
        row.update(draw.choice(makers)())
        out.append("  { " + ", ".join(
            f"{key} = {write(value)}" for key, value in row.items()) + " },")
    return "\n".join(out)


print(f'''# A day of scripts/random_day.py, seed {seed}
[[day]]
name = "random-{seed}"
slot = "trouble"
seed = {seed}
closing = {{ kind = "{how("kill_all", "power_off_all")}", down_s = 1.0 }}
plan = [
{rows(PLAN, 1, 3)}
]
faults = [
{rows(FAULTS, 4, 9)}
]''')
