#!/usr/bin/env python3
"""Writes a day for the users' bench with random disruptions.

    scripts/random_day.py SEED ENGINES PLAIN > DAY.toml

ENGINES and PLAIN are the names of the site's services. Every kind of disruption
that the bench lists for these contracts can occur, with all its variants, also
together with others and more than once. The same SEED gives the same day.
"""
import random
import sys

seed, engines, plain = int(sys.argv[1]), sys.argv[2], sys.argv[3]
random_source = random.Random(seed)


def draw_share(low=0.1, high=0.6):
    return round(random_source.uniform(low, high), 2)


def draw_seconds(low=1.5, high=7.0):
    return round(random_source.uniform(low, high), 1)


def draw_variant(*variants):
    return random_source.choice(variants)


FAULTS = [
    lambda: dict(kind="burst", x=random_source.uniform(1.3, 2.3), for_s=draw_seconds()),
    lambda: dict(kind="retry_abuse", share=draw_share(), x=3.0, for_s=draw_seconds()),
    lambda: dict(kind="give_up", share=draw_share(), for_s=draw_seconds()),
    lambda: dict(kind="srv_crash", service=draw_variant(engines, plain),
                 share=draw_share(0.1, 0.35), for_s=draw_seconds(),
                 how=draw_variant("", "dark", "gone")),
    lambda: dict(kind="srv_grey", service=draw_variant(engines, plain),
                 share=draw_share(0.1, 0.4), x=draw_share(0.2, 0.7), for_s=draw_seconds(),
                 how=draw_variant("errors", "shed", "busy", "hang", "reset", "mute",
                         "slow", "errors one_zone", "mute one_zone")),
    lambda: dict(kind="answer_lost", share=draw_share(), x=draw_share(0.02, 0.4),
                 for_s=draw_seconds(), how=draw_variant("", "reset")),
    lambda: dict(kind="garble", share=draw_share(), x=draw_share(0.02, 0.3),
                 for_s=draw_seconds(), how=draw_variant("", "extra", "extra late", "unframed",
                                       "early")),
    lambda: dict(kind="node_kill", share=draw_share(0.1, 0.4), for_s=draw_seconds(),
                 how=draw_variant("", "power")),
    lambda: dict(kind="node_slow", share=draw_share(0.1, 0.4), x=5.0, for_s=draw_seconds()),
    lambda: dict(kind="herd_kill", share=draw_share(0.4, 0.9), for_s=2.0,
                 how=draw_variant("", "power")),
    lambda: dict(kind="clock_step", share=draw_share(), x=2400.0, for_s=draw_seconds(),
                 how=draw_variant("ahead", "back")),
    lambda: dict(kind="reset_conns", share=draw_share(), x=draw_share()),
    lambda: dict(kind="zone_cut", for_s=draw_seconds(), how=draw_variant("drop", "reset")),
    lambda: dict(kind="node_cut", share=draw_share(0.1, 0.3), for_s=draw_seconds(),
                 how=draw_variant("", "all", "servers")),
    lambda: dict(kind="core_cut", count=1, for_s=draw_seconds(),
                 how=draw_variant("", "all", "near", "leader", "giver")),
    lambda: dict(kind="lossy", x=draw_share(0.01, 0.06), for_s=draw_seconds()),
    lambda: dict(kind="platform_down", for_s=draw_seconds(),
                 how=draw_variant("silent", "busy", "reset", "nodes busy",
                         "nodes many", "nodes reset", "nodes silent")),
    lambda: dict(kind="platform_slow", x=50.0, for_s=draw_seconds()),
    lambda: dict(kind="platform_lost", x=draw_share(), for_s=draw_seconds(),
                 how=draw_variant("", "late")),
    lambda: dict(kind="platform_compact", x=5.0, for_s=draw_seconds(),
                 how=draw_variant("", "drain")),
    lambda: dict(kind="applied_late", x=draw_share(), for_s=draw_seconds()),
    lambda: dict(kind="kv_slow", share=draw_share(), for_s=draw_seconds(),
                 service=engines),
    lambda: dict(kind="handle_short", share=draw_share(), for_s=draw_seconds(),
                 service=engines),
    lambda: dict(kind="srv_slow", share=draw_share(0.1, 0.4), x=4.0, for_s=draw_seconds()),
    lambda: dict(kind="srv_cut", share=draw_share(0.1, 0.4), for_s=draw_seconds(),
                 how=draw_variant("", "fronts", "some", "one_way", "reset")),
    lambda: dict(kind="replace_with_reuse", share=draw_share(0.1, 0.25),
                 how=draw_variant("", "drain", "dark")),
    lambda: dict(kind="node_freeze", share=draw_share(0.1, 0.4),
                 for_s=draw_seconds(0.5, 4)),
    lambda: dict(kind="after_ack_kill", for_s=3.0, how=draw_variant("kill", "timed")),
]
PLAN = [
    lambda: dict(kind="release", share=draw_share(), x=1.0, gap_s=1.0),
    lambda: dict(kind="scale_out", share=draw_share(0.1, 0.4), gap_s=2.0),
    lambda: dict(kind="scale_in", share=draw_share(0.1, 0.25)),
    lambda: dict(kind="roll_term", share=draw_share(0.3, 1.0), x=1.0,
                 gap_s=draw_seconds(1, 3), how=draw_variant("", "busy")),
    lambda: dict(kind="hup", share=draw_share(), gap_s=0.5),
    lambda: dict(kind="config_change",
                 how=draw_variant("route", "weights", "timeout", "idle")),
    lambda: dict(kind="config_storm", for_s=draw_seconds(), gap_s=draw_share(0.1, 0.5)),
    lambda: dict(kind="big_config", count=random_source.randint(50, 400)),
    lambda: dict(kind="add_nodes", share=draw_share(0.3, 0.9)),
]


def to_toml(value):
    if isinstance(value, str):
        return f'"{value}"'
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def draw_rows(makers, count_min, count_max):
    out = []
    for _ in range(random_source.randint(count_min, count_max)):
        row = dict(at=round(random_source.uniform(0.5, 30.0), 1))
        row.update(random_source.choice(makers)())
        out.append("  { " + ", ".join(
            f"{key} = {to_toml(value)}" for key, value in row.items()) + " },")
    return "\n".join(out)


print(f'''# A day of scripts/random_day.py, seed {seed}
[[day]]
name = "random-{seed}"
slot = "trouble"
seed = {seed}
closing = {{ kind = "{draw_variant("kill_all", "power_off_all")}", down_s = 1.0 }}
plan = [
{draw_rows(PLAN, 1, 3)}
]
faults = [
{draw_rows(FAULTS, 4, 9)}
]''')
