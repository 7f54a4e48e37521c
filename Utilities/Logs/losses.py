"""Counts lost requests by kind and cause, from the log lines of ragwort-entry."""

import argparse
import collections
import json
import sys

# A stream that breaks off within this time after its engine began to leave was
# lost by that; a notice lasts about 2 s.
NOTICE_US = 6_000_000


def parse(stream):
    """Yields the log lines of a stream in order; other text is skipped."""
    for line in stream:
        start = line.find("{")
        if start < 0:
            continue
        try:
            entry = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(entry, dict) and "event" in entry:
            yield entry


def kind_of(request):
    if request.get("kind") != "stream":
        return request.get("kind") or "unknown"
    return "stream, up to %d tokens" % rounded(request.get("output_bound", 0))


def rounded(tokens):
    """The next power of two, so that kinds of answers fall into few groups."""
    bound = 1
    while bound < tokens:
        bound *= 2
    return bound


class Fleet:
    """What the hosts logged about engines and moves of streams."""

    def __init__(self):
        self.leaving = collections.defaultdict(list)
        self.moves = collections.defaultdict(list)

    def add(self, entry):
        event, at = entry["event"], entry.get("at_us", 0)
        if event in ("targets_changed", "targets_gone"):
            for target in entry.get("leaving", entry.get("targets", [])) or []:
                self.leaving[target].append(at)
        elif event == "target_said_leaving":
            self.leaving[entry["target"]].append(at)
        elif event in ("move_call", "move_too_late", "move_without_room",
                       "move_not_planned"):
            self.moves[entry.get("id")].append(entry)

    def was_leaving(self, target, at):
        return any(0 <= at - since <= NOTICE_US
                   for since in self.leaving.get(target, []))

    def cause_of_break(self, request):
        at = request.get("at_us", 0)
        target = request.get("target", "")
        moves = [move for move in self.moves.get(request.get("id"), [])
                 if at - move.get("at_us", 0) <= NOTICE_US]
        if moves:
            last = moves[-1]
            if last["event"] != "move_call":
                return "engine left: " + last["event"]
            step = "last copy" if last.get("last") else "first copy"
            return "engine left: %s, status %s" % (step, last.get("status"))
        if self.was_leaving(target, at):
            return "engine left: no copy begun"
        return "engine failed: " + request.get("reason", "").split(": ")[-1]


def cause_of(request, fleet):
    """Returns why a request was lost, or None if it was served."""
    outcome, status = request.get("outcome"), request.get("status", 0)
    reason = request.get("reason", "")
    if outcome == "streamed" or (outcome == "answered" and status < 500):
        return None
    if outcome == "caller_gone":
        return "caller left"
    if outcome == "answered":
        return "server answered %d after %d sends" % (
            status, request.get("sends", 0))
    if outcome == "refused":
        return "refused: " + reason.split(": ")[-1]
    if outcome == "stream_broken" or status == 502:
        if request.get("kind") == "stream":
            return fleet.cause_of_break(request)
        return "server: " + reason.split(": ")[-1]
    if status == 504:
        return "no answer in time after %d sends" % request.get("sends", 0)
    return "answered %d: %s" % (status, reason)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="*", metavar="FILE")
    parser.add_argument("--ids", type=int, default=0, metavar="N",
                        help="print the ids of the first N requests of a cause")
    options = parser.parse_args()
    fleet, requests, hosts = Fleet(), [], 0
    try:
        streams = [open(name, encoding="utf-8", errors="replace")
                   for name in options.files] or [sys.stdin]
    except OSError as error:
        sys.exit("losses: %s" % error)
    for stream in streams:
        with stream:
            for entry in parse(stream):
                hosts += entry["event"] == "start"
                if entry["event"] == "request":
                    requests.append(entry)
                else:
                    fleet.add(entry)
    if not requests:
        sys.exit("losses: no log line of a request was found")
    total = collections.Counter(kind_of(one) for one in requests)
    lost = collections.defaultdict(list)
    for one in requests:
        cause = cause_of(one, fleet)
        if cause:
            lost[kind_of(one), cause].append(one)
    print("%d requests, %d starts of hosts" % (len(requests), hosts))
    for kind, count in sorted(total.items()):
        print("%s: %d" % (kind, count))
        rows = [(len(ones), cause, ones) for (of, cause), ones in lost.items()
                if of == kind]
        for number, cause, ones in sorted(rows, reverse=True,
                                          key=lambda row: row[:2]):
            ids = " ".join(one.get("id", "") for one in ones[:options.ids])
            print("  %6d  %5.2f%%  %s%s" % (
                number, 100.0 * number / count, cause, "  " + ids if ids else ""))


if __name__ == "__main__":
    main()
