#!/usr/bin/env python3
"""Says for each response that was lost beside planned work whether it may be.

    scripts/lost_responses.py LOG [LOG...]

LOG is what all instances logged (`--log all` of a run of the users' bench);
each line begins with the seconds and the instance. A request that was read and
discarded (E8034 `discarded`) has no excuse. Another lost response (E8034) is
excused if

  stop      it was broken off in the last sixth of the time until the kill,
            and its request was accepted no later than 3 s after the signal
  endpoint  its endpoint had broken off
  time      its request had no time left
  caller    its caller had ended the connection

Prints a line for each log and each response without an excuse; exits with 1
if there is one.
"""
import re
import sys

LINE = re.compile(r"^\s*(-?[0-9.]+) (\S+) \S+ \S+ (E\d+) msg=\"[^\"]*\"(.*)$")
FIELD = re.compile(r"(\w+)=(\S+)")
GRACE_S = 8.0            # from the signal to the kill
LAST_SHARE = 1 / 6       # of GRACE_S: requests at work may be ended
LATEST_REQUEST_S = 3.0   # after the signal; later requests have no excuse
TIME_LEFT_S = 0.05       # what counts as no time left


class Log:
    """What one log says of stops, requests and lost responses."""

    def __init__(self, path):
        self.drains = {}    # instance -> times of the signals
        self.requests = {}  # (instance, request) -> (accepted at, seconds left)
        self.broken = set()  # (instance, request) whose endpoint broke off
        self.ended = {}     # (instance, request) -> why the answer was aborted
        self.stops = 0
        self.lost = []      # (seconds, instance, fields)
        with open(path, errors="replace") as lines:
            for line in lines:
                match = LINE.match(line)
                if match:
                    self.read(float(match[1]), match[2], match[3],
                              dict(FIELD.findall(match[4])))

    def read(self, at, instance, event, fields):
        key = instance, fields.get("request")
        if event == "E7001":
            self.drains.setdefault(instance, []).append(at)
        elif event == "E7004":
            self.stops += 1
        elif event == "E8000":
            self.requests[key] = at, int(fields["left_ms"]) / 1000
        elif event == "E8002":
            self.ended[key] = fields["reason"]
        elif event == "E8005" and fields["outcome"] == "broken":
            self.broken.add(key)
        elif event == "E8034":
            self.lost.append((at, instance, fields))

    def signal_before(self, instance, at):
        times = [t for t in self.drains.get(instance, []) if t <= at]
        return times[-1] if times else None

    def excuse(self, at, instance, fields):
        """Returns the excuse of a lost response, or None."""
        key = instance, fields["request"]
        if fields["reason"] == "discarded":
            return None
        if fields["reason"] == "caller":
            return "caller"
        accepted, left = self.requests.get(key, (None, None))
        if accepted is None:
            return None
        if at >= accepted + left - TIME_LEFT_S:
            return "time"
        if self.ended.get(key) != "stopping":
            return "endpoint" if key in self.broken else None
        signal = self.signal_before(instance, at)
        is_late = signal and at - signal >= GRACE_S * (1 - LAST_SHARE)
        if is_late and accepted - signal <= LATEST_REQUEST_S:
            return "stop"
        return None


def judge(path):
    """Prints the result for one log; returns the number without excuse."""
    log = Log(path)
    counts = {}
    bad = []
    for lost in log.lost:
        excuse = log.excuse(*lost)
        counts[excuse] = counts.get(excuse, 0) + 1
        if excuse is None:
            bad.append(lost)
    excuses = ", ".join(f"{n} {name}" for name, n in sorted(
        counts.items(), key=str) if name)
    print(f"{path.split('/')[-1]}: {log.stops} stops, {len(log.lost)} lost"
          f" ({excuses or 'none'} excused), {len(bad)} without excuse")
    for at, instance, fields in bad:
        print(f"  {at:.3f} s {instance} {fields}")
    return len(bad)


if __name__ == "__main__":
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    sys.exit(sum(judge(path) for path in sys.argv[1:]) > 0)
