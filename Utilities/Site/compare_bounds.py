"""Runs benchmarks and prints their figures beside the bounds of a file."""

import argparse
import re
import subprocess
import sys

import yaml

# Google Benchmark shortens counters to these.
SUFFIXES = {"m": 1e-3, "u": 1e-6, "k": 1e3, "M": 1e6}
KEYS = {"name", "command", "value", "divide_by", "bound", "unit"}


class BoundsError(Exception):
    """A wrong entry in the file, or a benchmark without the figure."""


def number(text):
    factor = SUFFIXES.get(text[-1], 1)
    return float(text.rstrip("mukM")) * factor


def find(entry, pattern, output):
    match = re.search(pattern, output)
    if not match:
        raise BoundsError(f"{entry['name']}: no figure like '{pattern}' in the"
                          f" output of {' '.join(entry['command'])}")
    return number(match.group(1))


def check(entry, place):
    unknown = set(entry) - KEYS
    missing = KEYS - {"divide_by"} - set(entry)
    if unknown or missing:
        raise BoundsError(f"{place}: unknown {sorted(unknown)}, missing "
                          f"{sorted(missing)}")


def output_of(command):
    run = subprocess.run(command, capture_output=True, text=True,
                         stdin=subprocess.DEVNULL, check=False)
    if run.returncode != 0:
        raise BoundsError(f"{' '.join(command)}: exit code {run.returncode}:"
                          f" {run.stderr.strip()[-300:]}")
    return run.stdout


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bounds", default="Benchmarks/bounds.yaml")
    parser.add_argument("--only", default="",
                        help="run entries whose name contains this text")
    options = parser.parse_args()
    with open(options.bounds, encoding="utf-8") as file:
        entries = yaml.safe_load(file)
    outputs, exceeded = {}, 0
    for n, entry in enumerate(entries, 1):
        check(entry, f"{options.bounds}: entry {n}")
        if options.only not in entry["name"]:
            continue
        command = tuple(entry["command"])
        if command not in outputs:
            outputs[command] = output_of(entry["command"])
        value = find(entry, entry["value"], outputs[command])
        if "divide_by" in entry:
            value /= find(entry, entry["divide_by"], outputs[command])
        good = value <= entry["bound"]
        exceeded += not good
        print(f"{'ok      ' if good else 'EXCEEDED'}  {value:10.4g}  bound "
              f"{entry['bound']:<8g} {entry['unit']:<12} {entry['name']}",
              flush=True)
    return 1 if exceeded else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except BoundsError as error:
        sys.exit(f"benchmarks: {error}")
