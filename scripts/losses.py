#!/usr/bin/env python3
"""Says what a day's requests were lost to, from the instances' own logs.

    scripts/losses.py LOG [LOG...] [--site FILE.toml] [--rows N] [--seconds]

LOG is what all instances wrote (`--log all` of a trial), each line with the
seconds and the instance in front. Every request for an engine that did not
end whole and in time is charged to one cause, and so is every prompt that
was read more than once or for no answer. With --site the credits of the
kinds of requests are taken from there; without it every request counts 1.

A request's credit is 0.3 + 0.7 of its size (prompt and ten times the
output) against the mean size. A cause is the longest part of the time that a
late request spent before its first piece. What no line explains is counted
as such.
"""
import argparse
import collections
import re
import sys
import tomllib

LINE = re.compile(r"^\s*(-?[0-9.]+) (\S+) \S+ \S+ (E\d+) msg=\"[^\"]*\"(.*)$")
FIELD = re.compile(r"(\w+)=(\S+)")
OUTPUT_WEIGHT = 10       # of an output token in a request's size
SIZE_SHARE = 0.7         # of the credit that goes by size
MOST_CREDIT = 4          # times the mean
PAUSE_LIMIT_MS = 300     # longest pause of a stream in time
OBJECTIVE_MS = 900       # where the log does not tell it
EXAMPLES = 3


class Request:
    """What the log says of one caller's attempt."""

    def __init__(self, at, instance, fields):
        self.at, self.instance = at, instance
        self.id = fields["request"]
        self.prompt = int(fields["prompt"])
        self.size = self.prompt + OUTPUT_WEIGHT * int(fields["output"])
        self.objective = int(fields.get("objective_ms", OBJECTIVE_MS))
        self.is_engine = self.prompt > 0
        self.spent = collections.Counter()  # cause -> ms before the head
        self.phase, self.phase_at = "waited for room", at
        self.head = self.end = self.last = None
        self.reads = 0          # times the prompt was read to the end
        self.read_why = []      # why each further reading was needed
        self.reason = None
        self.failed_status = False
        self.pause = 0
        self.failure = None     # last dispatch that failed

    def enter(self, phase, at):
        if self.head is None:
            self.spent[self.phase] += 1000 * (at - self.phase_at)
        self.phase, self.phase_at = phase, at


def dispatched(request, at, fields):
    kind = fields["kind"]
    if kind == "prefill":
        request.enter("prompt queued or read", at)
    elif fields["handle"] == "-" and request.is_engine:
        request.enter("prompt read at the decode engine", at)
        request.own_read = True
    else:
        request.enter("run queued at the engine", at)
        request.own_read = False


def prefilled(request, at, fields):
    outcome = fields["outcome"]
    if outcome == "answer":
        request.reads += 1
        request.enter("run queued at the engine", at)
    else:
        request.spent["prefill " + outcome] += 1000 * (at - request.phase_at)
        request.phase_at = at
        request.failure = "prefill " + outcome


def answered(request, at, fields):
    outcome = fields["outcome"]
    request.pause = max(request.pause, int(fields.get("longest_pause_ms", 0)))
    if outcome == "stream_head":
        if getattr(request, "own_read", False):
            request.reads += 1
        request.enter("streaming", at)
        request.head = request.head or at
    elif outcome == "stream_end":
        request.end = at
    elif outcome == "answer":
        request.end = at
        request.failed_status = fields["status"] >= "400"
        request.head = request.head or at
    else:
        name = {"unreachable": "engine out of reach",
                "not_run": "turned away by the engine",
                "broken": "engine lost or answer broken"}[outcome]
        if request.head is None:
            request.spent[name] += 1000 * (at - request.phase_at)
            request.phase_at = at
        request.failure = name


def take(requests, at, instance, event, fields):
    if event == "E8000":
        requests[fields["request"]] = Request(at, instance, fields)
        return
    request = requests.get(fields.get("request"))
    if request is None:
        return
    request.last = at
    if event == "E8006":
        dispatched(request, at, fields)
    elif event == "E8004":
        prefilled(request, at, fields)
    elif event == "E8005":
        answered(request, at, fields)
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
            take(requests, at, instance, event, dict(FIELD.findall(line[4])))
    return requests, starts, max(ends.values(), default=0)


def cause_of(request, starts, last):
    """(cause, share lost) of a request; None when it was served in time"""
    if request.reason:
        detail = f" after {request.failure}" if request.failure else ""
        return request.reason + detail, 1.0
    if request.end is None:
        if any(start > request.at for start in starts[request.instance]):
            return "instance lost with the request open", 1.0
        if request.at > last - 6:
            return None, 0
        return "not explained by the log", 1.0
    if request.failed_status:
        return "the endpoint's own failure", 1.0
    first = 1000 * (request.head - request.at)
    if first > request.objective:
        return "late: " + request.spent.most_common(1)[0][0], 0.8
    if request.is_engine and request.pause > PAUSE_LIMIT_MS:
        why = "engine lost or answer broken" if request.failure else "at one engine"
        return "late: long pause " + why, 0.8
    return None, 0


def waste_of(request, lost):
    """(cause, tokens) of prompt tokens that were read for nothing"""
    if not request.reads:
        return None, 0
    whole = request.end is not None and not request.failed_status
    needless = request.reads - (1 if whole else 0)
    if needless <= 0:
        return None, 0
    return (lost if not whole else request.failure) or "unknown", \
        needless * request.prompt


def credits(path):
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
    stream_credit, plain_credit = credits(options.site)
    lost, count = collections.Counter(), collections.Counter()
    waste, waste_count = collections.Counter(), collections.Counter()
    examples = collections.defaultdict(list)
    seconds = collections.defaultdict(collections.Counter)
    owed = 0.0
    read = 0
    for path in options.logs:
        requests, starts, last = read_log(path)
        sizes = [r.size for r in requests.values() if r.is_engine]
        mean = sum(sizes) / len(sizes) if sizes else 1
        for request in requests.values():
            size = min(request.size / mean, MOST_CREDIT)
            credit = (stream_credit * (1 - SIZE_SHARE + SIZE_SHARE * size)
                      if request.is_engine else plain_credit)
            owed += credit
            read += request.reads * request.prompt
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
        shown = ", ".join(examples[kind, cause][:EXAMPLES])
        print(f"| {kind} | {cause} | {count[kind, cause]} | "
              f"{credit / max(owed, 1):.4f} | {shown} |")
    print(f"\nall lost: {sum(lost.values()) / max(owed, 1):.4f} of the credit")
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
