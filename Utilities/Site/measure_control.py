"""Measures memory and processor time of control and router by table size.

Starts a site of 3 entry hosts, imports tables of growing size, and prints one
line per size. For docs/CAPACITY.md; run it on an idle machine.
"""

import os
import time

import site_processes as sites

TEAMS = (10, 1000, 2500, 4900)
SETTLE_S = 5
WINDOW_S = 20
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def resident_kib(process):
    with open(f"/proc/{process.child.pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


def cpu_s(process):
    with open(f"/proc/{process.child.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def import_teams(site, count):
    path = site.folder / "table" / "teams.csv"
    rows = [f"team-{n},{n % 1000 + 1},{n % 50}" for n in range(count)]
    path.write_text("row,share,max_concurrent\n" + "\n".join(rows) + "\n")
    site.ctl("table", "import", str(path))


def main():
    site = sites.Site()
    site.build_all()
    try:
        site.start()
        print("teams  control KiB  control % of a core  router KiB  "
              "router % of a core")
        for teams in TEAMS:
            import_teams(site, teams)
            time.sleep(SETTLE_S)
            watched = [site.processes[name] for name in
                       ("control-entry-2", "router-entry-2")]
            before = [cpu_s(process) for process in watched]
            time.sleep(WINDOW_S)
            used = [(cpu_s(process) - start) / WINDOW_S * 100
                    for process, start in zip(watched, before)]
            sizes = [resident_kib(process) for process in watched]
            print(f"{teams:5}  {sizes[0]:11}  {used[0]:19.2f}  "
                  f"{sizes[1]:10}  {used[1]:18.2f}", flush=True)
    finally:
        for problem in site.stop():
            print(problem)


if __name__ == "__main__":
    main()
