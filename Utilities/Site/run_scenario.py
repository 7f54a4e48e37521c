"""Runs scenario files against real processes on loopback."""

import argparse
import json
import signal
import subprocess
import sys
import threading
import time

import caller
import history as histories
import scenario as scenarios
import site_processes as sites

TEAM = "nadia-bakers"
# Ends a hang; no verdict depends on it.
STEP_TIMEOUT_S = 90


class Run:
    """One scenario in progress."""

    def __init__(self, scenario, build):
        settings = dict(scenario.site)
        links = settings.pop("links", [])
        domains = settings.pop("failure_domains", 3)
        names = ["nadia", "hooghly", "bardhaman"][:domains]
        self.scenario = scenario
        self.site = sites.Site(failure_domains=names, build=build,
                               links=links, **settings)
        self.history = histories.History()
        self.streams = []
        self.conflicts = 0
        self.orders = {}

    def execute(self):
        self.site.build_all()
        self.site.start()
        for step in self.scenario.steps:
            method = getattr(self, "do_" + step.verb.replace("-", "_"))
            try:
                method(**step.values)
            except sites.SiteError as error:
                raise sites.SiteError(f"{step.place}: {step.verb}: {error}") \
                    from error
        self.do_wait_streams()
        self.collect()

    def collect(self):
        """Adds what the processes observed to the history."""
        live = [self.site.control_address(host)
                for host in self.site.entry_hosts
                if self.process(f"control-{host}").running()]
        events = self.events(live) if live else []
        for event in events:
            if event["type"] == "table-applied" and \
                    event["process"] == "control":
                self.history.add_event("table_in_force", event, event["host"],
                                       n=int(event["table_version"]))
            elif event["type"] == "request-dispatched":
                self.history.add_event("work_accepted", event,
                                       event["target"], event["request"])
        for name, process in self.site.processes.items():
            for line in process.log.read_text().splitlines():
                if "shutdown cut off" in line:
                    self.history.add("cut_off", host=name, request=line)

    # Load.

    def do_streams(self, count, tokens, kind="guide", team=TEAM, hosts=None,
                   model="drafts"):
        hosts = hosts or self.site.entry_hosts
        for n in range(count):
            turn = n % len(hosts)
            stream = caller.Stream(
                self.site, self.history, f"r{len(self.streams) + 1}", team,
                kind, tokens, hosts[turn:] + hosts[:turn], model=model)
            self.streams.append(stream)
            stream.start()

    def do_order(self, key, host, times=1):
        for _ in range(times):
            attempt = str(len(self.orders.setdefault(key, [])) + 1)
            try:
                _, headers, _ = sites.http(
                    "POST", f"http://{self.site.router_address(host)}"
                    "/v1/services/orders/flour-order", {"bags": 1},
                    {"Authorization": "Bearer " + self.site.token(TEAM),
                     "Idempotency-Key": key})
                verdict = headers.get("X-Ragwort-Verdict")
            except sites.SiteError:
                verdict = "no answer"
            self.orders[key].append(verdict)
            self.history.add("verdict", request=key, generation=attempt,
                             text=verdict)

    # Faults.

    def process(self, name):
        if name not in self.site.processes:
            raise sites.SiteError(f"'{name}': expected one of "
                                  + ", ".join(self.site.processes))
        return self.site.processes[name]

    def do_kill(self, process):
        self.process(process).stop(signal.SIGKILL)

    def do_stop(self, process):
        """Starts a graceful stop; the streams decide when it ends."""
        self.history.add("stop_requested", host=process)
        child = self.process(process)
        child.send(signal.SIGTERM)

    def do_start(self, process):
        self.process(process).start()

    def do_freeze(self, process):
        self.process(process).send(signal.SIGSTOP)

    def do_thaw(self, process):
        self.process(process).send(signal.SIGCONT)

    def do_leave(self, host):
        self.site.ctl("hosts", "leave", host)
        self.history.add("marked_leaving", host=host)

    def do_join(self, host):
        self.site.ctl("hosts", "clear", host)

    def do_set(self, cell, value):
        row, column = cell.rsplit(".", 1)
        self.site.ctl("table", "set", row, f"{column}={value}")

    def do_race(self, cell, values):
        """Edits the same cell at once, each from the same old value."""
        row, column = cell.rsplit(".", 1)
        old = json.loads(self.site.ctl("table", "get", row, "--json"))
        before = old[column]["value"] if old[column]["set"] else "-"
        codes = []

        def edit(value):
            codes.append(self.site.ctl_code(
                "table", "set", row, f"{column}={value}",
                "--if-value", str(before)))
        threads = [threading.Thread(target=edit, args=(value,))
                   for value in values]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if sorted(codes) != [0] + [5] * (len(values) - 1):
            raise sites.SiteError(f"expected one accepted edit and "
                                  f"{len(values) - 1} conflicts, got exit "
                                  f"codes {codes}")
        self.conflicts += len(values) - 1

    def do_key_value(self, fault, count=1):
        bodies = {"down": {"down": True}, "up": {"down": False},
                  "lose-replies": {"drop_replies": count}}
        if fault not in bodies:
            raise sites.SiteError(f"'{fault}': expected one of "
                                  + ", ".join(bodies))
        sites.http("POST", f"http://{sites.KEY_VALUE}/standin/faults",
                   bodies[fault])

    def do_host_list(self, fault):
        sites.http("POST", f"http://{sites.HOST_LIST}/standin/faults",
                   {"down": fault == "down"})

    def do_link(self, name, **state):
        status, _, text = sites.http(
            "POST", f"http://{sites.LINK_CONTROL}/links/{name}", state)
        if status != 200:
            raise sites.SiteError(f"link {name}: {text}")

    # Waits; each ends as soon as its condition holds.

    def do_wait_tokens(self, count):
        sites.wait_for(f"{count} tokens", lambda: self.history.count(
            "token_delivered") >= count, STEP_TIMEOUT_S)

    def do_wait_streams(self):
        for stream in self.streams:
            stream.join(STEP_TIMEOUT_S)

    def do_wait_table(self, hosts=None):
        """Until all named hosts report the newest accepted version."""
        lines = json.loads(self.site.ctl("table", "history", "--json",
                                         "--limit", "1").splitlines()[0])
        newest = int(lines["version"])
        hosts = hosts or self.site.entry_hosts

        def in_force():
            return all(self.table_version(host) >= newest for host in hosts)
        sites.wait_for(f"table version {newest}", in_force, STEP_TIMEOUT_S)

    def table_version(self, host):
        text = self.site.ctl("status", self.site.control_address(host))
        return int(text.split("table version ")[1].split()[0].rstrip(","))

    def lease_holder(self):
        """The holder on which all running hosts agree, or None."""
        holders = set()
        for host in self.site.entry_hosts:
            if self.process(f"control-{host}").running():
                text = self.site.ctl("status", "--json",
                                     self.site.control_address(host))
                holders.add(json.loads(text)["lease_holder"])
        return holders.pop() if len(holders) == 1 else None

    def do_wait_lease(self, other_than=None):
        sites.wait_for("a lease holder", lambda: self.lease_holder() not in (
            None, "", other_than), STEP_TIMEOUT_S)

    def do_kill_lease_holder(self):
        """Kills the holder and waits until another host has the lease."""
        self.do_wait_lease()
        holder = self.lease_holder()
        self.do_kill(f"control-{holder}")
        self.do_wait_lease(holder)
        self.do_start(f"control-{holder}")

    def loaded(self, model, version):
        """Engines that have the version of the model, with readiness."""
        found = {}
        for engine in self.site.engines:
            text = sites.http(
                "GET",
                f"http://{self.site.target_address(engine)}/state")[2]
            for entry in json.loads(text)["models"]:
                if (entry["model"], entry["version"]) == (model, version):
                    found[engine] = entry["ready"]
        return found

    def do_wait_loaded(self, model, version, replicas):
        sites.wait_for(
            f"{replicas} replicas of {model} {version}",
            lambda: sum(self.loaded(model, version).values()) == replicas,
            STEP_TIMEOUT_S)

    def do_wait_unloaded(self, model, version):
        sites.wait_for(f"no replica of {model} {version}",
                       lambda: not self.loaded(model, version),
                       STEP_TIMEOUT_S)

    def events(self, addresses):
        """The time line over the hosts at the addresses."""
        text = self.site.ctl("timeline", "--format", "json", *addresses)
        return [json.loads(line) for line in text.splitlines()]

    def do_wait_events(self, types):
        """Until the time line has events of each type; it is in order."""
        missing = set(types)

        def complete():
            events = self.events([self.site.control_address(host)
                                  for host in self.site.entry_hosts])
            times = [int(event["time"]) for event in events]
            if times != sorted(times):
                raise AssertionError("the time line is out of order")
            missing.difference_update(event["type"] for event in events)
            return not missing
        try:
            sites.wait_for("events of all types", complete, STEP_TIMEOUT_S)
        except sites.SiteError as error:
            raise sites.SiteError(f"{error}; missing {sorted(missing)}") \
                from error
        except AssertionError as error:
            raise sites.SiteError(str(error)) from error

    def do_pause(self, ms):
        time.sleep(ms / 1000)

    # Expectations beside the invariants.

    def runs(self, key):
        total = 0
        for name in self.site.services:
            text = sites.http(
                "GET", f"http://{self.site.target_address(name)}/runs")[2]
            total += int(json.loads(text)["runs"].get(key, 0))
        return total

    def do_expect_runs(self, key, most):
        runs = self.runs(key)
        for _ in range(runs):
            self.history.add("ran", request=key)
        if runs > most:
            raise sites.SiteError(f"'{key}' ran {runs} times")
        if runs == 0 and "ran" in self.orders.get(key, []):
            raise sites.SiteError(f"'{key}': told ran, but it never ran")

    def do_expect_completed(self, least):
        self.do_wait_streams()
        done = self.history.count("answer_completed")
        if done < least:
            failed = [record["text"] for record in self.history.records
                      if record["type"] == "answer_failed"]
            raise sites.SiteError(f"{done} of {len(self.streams)} answers "
                                  f"completed, expected {least}; failures: "
                                  f"{failed[:2]}")

    def do_expect_verdict(self, key, verdicts):
        last = self.orders.get(key, [None])[-1]
        if last not in verdicts:
            raise sites.SiteError(f"'{key}': verdict {last}, expected one of "
                                  f"{verdicts}")

    def do_expect_conflict(self):
        if self.conflicts == 0:
            raise sites.SiteError("no edit had a conflict")

    def do_expect_work(self, target, most):
        """Bounds the generations that an engine has created so far."""
        text = sites.http(
            "GET", f"http://{self.site.target_address(target)}/state")[2]
        created = json.loads(text)["created"]
        if created > most:
            raise sites.SiteError(f"{target} created {created} generations")


# Without any record of these types, a checker would have nothing to judge.
EVIDENCE = {
    "token-once": ("token_delivered",),
    "whole-answer": ("answer_completed", "answer_failed"),
    "not-run-is-true": ("verdict",),
    "action-at-most-once": ("verdict",),
    "leaving-gets-no-work": ("work_accepted",),
    "graceful-stop": ("stop_requested",),
    "table-in-force": ("table_in_force",),
}


def check(run):
    """Runs the invariant checkers; returns their output and verdict."""
    idle = [name for name in run.scenario.expect
            if run.history.count(*EVIDENCE[name]) == 0]
    if idle:
        return False, f"nothing to judge by {', '.join(idle)}"
    path = run.site.folder / "history.jsonl"
    run.history.write(path)
    result = subprocess.run(
        [run.site.binary("ragwort-check-history"), "--history", str(path),
         *run.scenario.expect],
        capture_output=True, text=True, stdin=subprocess.DEVNULL, check=False)
    return result.returncode == 0, result.stdout + result.stderr


def time_line(run):
    """The events of all live control processes, for a failed run."""
    try:
        return run.site.ctl("events", *[run.site.control_address(host)
                                        for host in run.site.entry_hosts])
    except (sites.SiteError, subprocess.TimeoutExpired) as error:
        return f"no events: {error}"


def run_file(path, build):
    """Runs one scenario; returns True when it passed."""
    try:
        scenario = scenarios.load(path)
    except scenarios.ScenarioError as error:
        print(error)
        return False
    run = Run(scenario, build)
    problems = []
    try:
        run.execute()
    except sites.SiteError as error:
        problems.append(str(error))
    except BaseException:
        run.site.stop()
        raise
    good, output = check(run)
    if not good:
        problems.append(output.strip())
    events = time_line(run) if problems else ""
    problems += run.site.stop()
    print(f"{'passed' if not problems else 'FAILED'}  {scenario.name}",
          flush=True)
    if problems:
        for problem in problems:
            print("  " + problem.replace("\n", "\n  "))
        print(f"  seed {scenario.seed}; repeat with: Utilities/scenarios "
              f"{path}\n  logs and history in {run.site.folder}\n  time line:")
        print("\n".join("    " + line
                        for line in events.splitlines()[-40:]))
    return not problems


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="+")
    parser.add_argument("--build", default="build")
    options = parser.parse_args()
    passed = [run_file(path, options.build) for path in options.files]
    print(f"{sum(passed)} passed, {len(passed) - sum(passed)} failed")
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
