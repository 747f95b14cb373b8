#!/usr/bin/env python3
"""Prints what the requests of a day were lost to, from the instances' logs.

    scripts/losses.py LOG [LOG...] [--site FILE.toml] [--rows N] [--seconds]

LOG is what all instances logged (`--log all` of a trial); each line begins
with the seconds and the instance. Every request that did not end completely
and in time is counted under one cause, and so is every prompt that was read
more than once or without an answer. With --site the credits of the kinds of
requests come from that file; without it every request counts 1.

The credit of a request for an engine is 0.3 + 0.7 of its size (prompt and ten
times the output) relative to the mean size. The cause of a late request is the
phase before its first piece that took longest. Requests that no line explains
are counted under a cause of their own.
"""
import argparse
import collections
import re
import sys
import tomllib

LINE = re.compile(r"^\s*(-?[0-9.]+) (\S+) \S+ \S+ (E\d+) msg=\"[^\"]*\"(.*)$")
FIELD = re.compile(r"(\w+)=(\S+)")
OUTPUT_WEIGHT = 10       # of an output token in the size of a request
SIZE_SHARE = 0.7         # of the credit that depends on the size
SIZE_RATIO_MAX = 4       # size relative to the mean
PAUSE_LIMIT_MS = 300     # longest pause of a stream that is in time
OBJECTIVE_MS = 900       # when the log does not name it
EXAMPLES_SHOWN = 3


class Request:
    """The attempt of a caller, as far as the log shows it."""

    def __init__(self, at, instance, fields):
        self.at, self.instance = at, instance
        self.id = fields["request"]
        self.prompt = int(fields["prompt"])
        self.size = self.prompt + OUTPUT_WEIGHT * int(fields["output"])
        self.objective_ms = int(fields.get("objective_ms", OBJECTIVE_MS))
        self.is_engine = self.prompt > 0
        self.phase_ms = collections.Counter()  # phase -> ms, to first piece
        self.phase, self.phase_at = "waited for room", at
        self.first_piece_at = self.end_at = self.last_event_at = None
        self.prompt_reads = 0   # times that the prompt was read completely
        self.read_why = []      # unused
        self.reason = None
        self.failed_status = False
        self.longest_pause_ms = 0
        self.failure = None     # outcome of the last dispatch that failed

    def enter_phase(self, phase, at):
        if self.first_piece_at is None:
            self.phase_ms[self.phase] += 1000 * (at - self.phase_at)
        self.phase, self.phase_at = phase, at


def on_dispatch(request, at, fields):
    kind = fields["kind"]
    if kind == "prefill":
        request.enter_phase("prompt queued or read", at)
    elif fields["handle"] == "-" and request.is_engine:
        request.enter_phase("prompt read at the decode engine", at)
        request.reads_at_decode = True
    else:
        request.enter_phase("run queued at the engine", at)
        request.reads_at_decode = False


def on_prefill_end(request, at, fields):
    outcome = fields["outcome"]
    if outcome == "answer":
        request.prompt_reads += 1
        request.enter_phase("run queued at the engine", at)
    else:
        request.phase_ms["prefill " + outcome] += 1000 * (at - request.phase_at)
        request.phase_at = at
        request.failure = "prefill " + outcome


def on_answer(request, at, fields):
    outcome = fields["outcome"]
    request.longest_pause_ms = max(request.longest_pause_ms,
                                   int(fields.get("longest_pause_ms", 0)))
    if outcome == "stream_head":
        if getattr(request, "reads_at_decode", False):
            request.prompt_reads += 1
        request.enter_phase("streaming", at)
        request.first_piece_at = request.first_piece_at or at
    elif outcome == "stream_end":
        request.end_at = at
    elif outcome == "answer":
        request.end_at = at
        request.failed_status = fields["status"] >= "400"
        request.first_piece_at = request.first_piece_at or at
    else:
        name = {"unreachable": "engine out of reach",
                "not_run": "turned away by the engine",
                "broken": "engine lost or answer broken"}[outcome]
        if request.first_piece_at is None:
            request.phase_ms[name] += 1000 * (at - request.phase_at)
            request.phase_at = at
        request.failure = name


def handle_event(requests, at, instance, event, fields):
    if event == "E8000":
        requests[fields["request"]] = Request(at, instance, fields)
        return
    request = requests.get(fields.get("request"))
    if request is None:
        return
    request.last_event_at = at
    if event == "E8006":
        on_dispatch(request, at, fields)
    elif event == "E8004":
        on_prefill_end(request, at, fields)
    elif event == "E8005":
        on_answer(request, at, fields)
    elif event == "E8001":
        request.reason = "refused: " + fields["reason"]
    elif event == "E8002":
        request.reason = "broken off: " + fields["reason"]
    elif event == "E8003":
        request.reason = "caller left while " + request.phase


def read_log(path):
    requests = {}
    ends = {}
    starts = collections.defaultdict(list)
    with open(path, encoding="utf-8", errors="replace") as log:
        for text in log:
            line = LINE.match(text)
            if not line:
                continue
            at, instance, event = float(line[1]), line[2], line[3]
            ends[instance] = at
            if event == "E7003":
                starts[instance].append(at)
            handle_event(requests, at, instance, event,
                         dict(FIELD.findall(line[4])))
    return requests, starts, max(ends.values(), default=0)


def cause_of(request, starts, last):
    """Returns (cause, share lost); the cause is None when it was in time."""
    if request.reason:
        detail = f" after {request.failure}" if request.failure else ""
        return request.reason + detail, 1.0
    if request.end_at is None:
        if any(start > request.at for start in starts[request.instance]):
            return "instance lost with the request open", 1.0
        if request.at > last - 6:
            return None, 0
        return "not explained by the log", 1.0
    if request.failed_status:
        return "the endpoint's own failure", 1.0
    first = 1000 * (request.first_piece_at - request.at)
    if first > request.objective_ms:
        return "late: " + request.phase_ms.most_common(1)[0][0], 0.8
    if request.is_engine and request.longest_pause_ms > PAUSE_LIMIT_MS:
        why = "engine lost or answer broken" if request.failure else "at one engine"
        return "late: long pause " + why, 0.8
    return None, 0


def waste_of(request, lost):
    """Returns (cause, tokens) of prompt tokens that were read needlessly."""
    if not request.prompt_reads:
        return None, 0
    is_complete = request.end_at is not None and not request.failed_status
    extra_reads = request.prompt_reads - (1 if is_complete else 0)
    if extra_reads <= 0:
        return None, 0
    return (lost if not is_complete else request.failure) or "unknown", \
        extra_reads * request.prompt


def mean_credits(path):
    """Returns the mean credits of streams and of plain requests."""
    if not path:
        return 1.0, 1.0
    with open(path, "rb") as site:
        classes = tomllib.load(site)["classes"]
    streams = [c["worth"] for c in classes if c.get("kind") == "stream"]
    plain = [c["worth"] for c in classes if c.get("kind") != "stream"]
    return sum(streams) / len(streams), sum(plain) / len(plain)


def main():
    reader = argparse.ArgumentParser()
    reader.add_argument("logs", nargs="+")
    reader.add_argument("--site")
    reader.add_argument("--rows", type=int, default=16)
    reader.add_argument("--seconds", action="store_true")
    options = reader.parse_args()
    stream_credit, plain_credit = mean_credits(options.site)
    lost, count = collections.Counter(), collections.Counter()
    waste, waste_count = collections.Counter(), collections.Counter()
    examples = collections.defaultdict(list)
    seconds = collections.defaultdict(collections.Counter)
    credit_total = 0.0
    read = 0
    for path in options.logs:
        requests, starts, last = read_log(path)
        sizes = [r.size for r in requests.values() if r.is_engine]
        mean = sum(sizes) / len(sizes) if sizes else 1
        for request in requests.values():
            size = min(request.size / mean, SIZE_RATIO_MAX)
            credit = (stream_credit * (1 - SIZE_SHARE + SIZE_SHARE * size)
                      if request.is_engine else plain_credit)
            credit_total += credit
            read += request.prompt_reads * request.prompt
            cause, share = cause_of(request, starts, last)
            if cause:
                kind = "engine" if request.is_engine else "plain"
                lost[kind, cause] += credit * share
                count[kind, cause] += 1
                examples[kind, cause].append(request.id)
                seconds[int(request.at // 2 * 2)][cause] += credit * share
            why, tokens = waste_of(request, cause)
            if why:
                waste[why] += tokens
                waste_count[why] += 1
    print("| kind | lost to | requests | share of the credit | examples |")
    print("| --- | --- | --- | --- | --- |")
    for (kind, cause), credit in lost.most_common(options.rows):
        shown = ", ".join(examples[kind, cause][:EXAMPLES_SHOWN])
        print(f"| {kind} | {cause} | {count[kind, cause]} | "
              f"{credit / max(credit_total, 1):.4f} | {shown} |")
    print(f"\nall lost: {sum(lost.values()) / max(credit_total, 1):.4f} of the credit")
    print("\n| prompt read for nothing because | prompts | 1,000 tokens |")
    print("| --- | --- | --- |")
    for why, tokens in waste.most_common(options.rows):
        print(f"| {why} | {waste_count[why]} | {tokens / 1000:.1f} |")
    print(f"\nread in all: {read / 1000:.0f} thousand tokens")
    if options.seconds:
        for second in sorted(seconds):
            top = ", ".join(f"{cause} {credit:.0f}" for cause, credit
                            in seconds[second].most_common(3))
            print(f"{second:4} {sum(seconds[second].values()):7.0f}  {top}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
