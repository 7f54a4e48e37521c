"""Stand-ins of the platform, its servers and its clients, for the scripts in
review/11 and later. They speak what the users' pages say, on loopback addresses.
"""

import asyncio
import base64
import copy
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "Tests" / "Soak"))

import wire  # noqa: E402  (the soak's HTTP/1.1)

PROGRAM = ROOT / "target" / "bin" / "ragwort-entry"
TEMPLATE = ROOT / "deploy" / "settings.yaml.in"
# Bounds of the sheets of the small deployments.
BOUNDS = {
    "strict_revoke": True,
    "revoke_ms": 5000,
    "config_apply_ms": 2000,
    "drain_ms": 2000,
    "grace_s": 8,
    "budget_ratio": 0.2,
    "budget_extra": 126,
    "budget_window_s": 10,
}
CONTACT_S = 3.0
HOST_NAME = "kiln.example"
# A script runs for 120 seconds at most.
LIMIT_S = 110
HEARTBEAT_S = 1.2
ZONES = ["nadia", "hooghly", "bardhaman"]
FRONT, READY, PEER, METRICS, STORE, SERVER = 8740, 8749, 7200, 7201, 8742, 8800


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, one JSON object a line."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, what, **fields):
        line = {"at_s": round(time.monotonic() - self.began, 3), "what": what}
        self.file.write(json.dumps({**line, **fields}) + "\n")
        self.file.flush()


def free_net():
    """The first three bytes of a block of loopback addresses that is not used."""
    for _ in range(50):
        net = f"127.{random.randint(40, 250)}.{random.randint(1, 250)}"
        probes = []
        try:
            for number, port, kind in [
                (1, STORE, socket.SOCK_STREAM),
                (11, FRONT, socket.SOCK_STREAM),
                (11, PEER, socket.SOCK_DGRAM),
                (21, SERVER, socket.SOCK_STREAM),
            ]:
                probes.append(socket.socket(socket.AF_INET, kind))
                probes[-1].bind((f"{net}.{number}", port))
            return net
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    raise OSError("no free loopback addresses")


class Store:
    """The platform's store, as far as the system uses it."""

    def __init__(self, record):
        self.record = record
        self.era = 1
        self.revision = 100
        self.items = {}
        self.leases = {}
        self.next_lease = 7000
        self.history = []
        self.history_from = 100
        self.is_away = False
        self.writers = set()
        self.changed = asyncio.Event()
        self.server = None

    async def listen(self, address):
        self.server = await asyncio.start_server(self.serve, address, STORE)

    def note(self, key, event):
        self.history.append((self.revision, key, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {"created_at": self.revision})["created_at"]
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_at": created,
            "lease": lease,
        }
        self.note(key, self.items[key])
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.note(
                key, {"key": key, "revision": self.revision, "tombstone": True}
            )

    def expire(self):
        now = time.monotonic()
        for lease in [it for it, end in self.leases.items() if end < now]:
            del self.leases[lease]
            for key in [k for k, it in self.items.items() if it["lease"] == lease]:
                self.remove(key)

    def copy(self):
        return copy.deepcopy(
            (self.revision, self.items, self.leases, self.history)
        )

    def leave(self):
        """Away: connections are reset, new ones too."""
        self.is_away = True
        for writer in list(self.writers):
            wire.close(writer, reset=True)
        self.record.write("store away", revision=self.revision)

    def return_from(self, state):
        """Back from a copy: what was written since is gone."""
        self.revision, self.items, self.leases, self.history = copy.deepcopy(state)
        self.era += 1
        self.is_away = False
        self.record.write("store back", revision=self.revision, era=self.era)

    async def serve(self, reader, writer):
        if self.is_away:
            wire.close(writer, reset=True)
            return
        self.writers.add(writer)
        try:
            while True:
                first, headers = await wire.read_head(reader)
                body = await wire.read_body(reader, headers)
                method, target, _ = first.split(" ", 2)
                status, value = await self.call(
                    method, target, json.loads(body or b"{}")
                )
                if self.is_away:
                    break
                writer.write(
                    wire.message(
                        f"HTTP/1.1 {status} X",
                        {
                            "Content-Type": "application/json",
                            "Store-Era": str(self.era),
                        },
                        json.dumps(value).encode(),
                    )
                )
                await wire.drain(writer)
        except (wire.Broken, ValueError, asyncio.CancelledError):
            pass  # The host closed the connection, or the case ends.
        self.writers.discard(writer)
        wire.close(writer, reset=True)

    async def watch(self, query):
        after = int(query["after"])
        if after > self.revision or after < self.history_from:
            return 410, {}
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for revision, key, event in self.history
                if revision > after and key.startswith(query["path_prefix"])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except (TimeoutError, asyncio.TimeoutError):
                pass

    async def call(self, method, target, body):
        self.expire()
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/-/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"current_rev": self.revision}
            return 200, {**item, "current_rev": self.revision}
        if url.path == "/-/kv-range":
            keys = sorted(
                it
                for it in self.items
                if it.startswith(query["path_prefix"]) and it > query.get("after", "")
            )
            return 200, {
                "items": [self.items[it] for it in keys[:500]],
                "has_more": len(keys) > 500,
                "current_rev": self.revision,
            }
        if url.path == "/-/kv-watch":
            return await self.watch(query)
        if url.path == "/-/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = time.monotonic() + body["ttl_ms"] / 1000
            return 200, {"lease": self.next_lease, "ttl_ms": body["ttl_ms"]}
        if url.path.startswith("/-/kv-keep/"):
            lease = int(url.path.rsplit("/", 1)[1])
            return (200 if lease in self.leases else 404), {}
        if url.path == "/-/kv-txn":
            puts = body.get("puts", [])
            if any(it.get("lease", 0) not in (0, *self.leases) for it in puts):
                return 404, {}
            for put in puts:
                self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
            return 200, {"revision": self.revision}
        return 404, {}


class Server:
    """A server of a plain service. Runs each request that it takes at once."""

    def __init__(self, store, record, ident, service, address, zone):
        self.store = store
        self.record = record
        self.id = ident
        self.service = service
        self.address = address
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.cold_ms = 0
        self.work_s = 0.01
        self.runs = []
        self.server = None
        self.writers = set()

    def end(self):
        """Ends: what still runs is cut off."""
        self.server.close()
        for writer in list(self.writers):
            wire.close(writer, reset=True)
        self.record.write("server ended", server=self.id)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, SERVER)
        self.register()

    def register(self):
        entry = {
            "service": self.service,
            "address": f"{self.address}:{SERVER}",
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "cold_remaining_ms": self.cold_ms,
            "sequence": 1,
            "born": self.born,
        }
        self.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await wire.read_head(reader)
                await wire.read_body(reader, headers)
                writer.write(await self.answer(first, headers))
                await wire.drain(writer)
        except (wire.Broken, ValueError, asyncio.CancelledError):
            pass  # The host closed the connection, or the case ends.
        self.writers.discard(writer)
        wire.close(writer)

    async def answer(self, first, headers):
        attempt = headers.get("attempt-id", "")
        says = {"Attempt-Id": attempt, "Server-Load": "1,0,6"}
        if self.state == "draining":
            says["Server-Leaving"] = "1"
        if headers.get("expect-instance", self.id) != self.id:
            return wire.message("HTTP/1.1 421 X", {**says, "Not-Executed": "1"})
        self.runs.append((time.monotonic(), attempt))
        self.record.write(
            "run",
            id=attempt,
            server=self.id,
            service=self.service,
            tenant=headers.get("tenant", ""),
        )
        await asyncio.sleep(self.work_s)
        body = f"{self.service} ran {attempt}\n".encode()
        return wire.message(
            "HTTP/1.1 200 OK",
            {**says, "Response-Seal": f"seal.{attempt}", "Keep-Alive": "timeout=5"},
            body,
        )


def route(name, service, kind, **more):
    """A route of a desired state, below /NAME/."""
    return {
        "name": name,
        "host": HOST_NAME,
        "path_prefix": f"/{name}/",
        "service": service,
        "kind": kind,
        "timeout_ms": 2000,
        "goal_ms": 300,
        "max_attempts": 1 if kind == "unsafe" else 2,
        "priority": 2,
        **more,
    }


def desired_state(version, routes, tenants):
    """tenants: the keys of each one by its name."""
    names = sorted({it["service"] for it in routes})
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [{"name": it, "max_connections": 248} for it in names],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 5000,
                "idle_timeout_ms": 30000,
            },
            "tenants": [{"name": it, "api_keys": tenants[it]} for it in tenants],
        }
    ).encode()


def render(template, fields):
    """Fills in the placeholders of a settings template."""

    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if match.group(2) else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


class Host:
    """An entry process, started as the deploy file does."""

    def __init__(self, folder, net, number):
        self.name = f"front-{number}"
        self.address = f"{net}.{10 + number}"
        self.config = pathlib.Path(folder) / f"{self.name}.yaml"
        self.log = open(pathlib.Path(folder) / f"{self.name}.log", "ab")
        fields = {
            "node": self.name,
            "zone": ZONES[number % len(ZONES)],
            "ip": self.address,
            "limits": {"link_mbps": 700.0, "memory_mb": 182},
            "listen": {
                "front": f"{self.address}:{FRONT}",
                "ready": f"{self.address}:{READY}",
            },
            "internal_ports": [PEER, METRICS],
            "platform": {"address": f"{net}.1:{STORE}"},
            "seed_nodes": [f"{net}.{10 + n}:8748" for n in range(1, 4)],
            "bounds": BOUNDS,
        }
        self.config.write_text(render(TEMPLATE.read_text(), fields))
        self.process = None

    def start(self):
        self.process = subprocess.Popen(
            [str(PROGRAM), "--config", str(self.config)],
            stdout=self.log,
            stderr=self.log,
        )

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.address, READY)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                first, _ = await wire.read_head(reader)
                wire.close(writer)
                return " 200 " in first
        except (OSError, wire.Broken, TimeoutError):
            return False

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()


async def all_ready(hosts, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if all([await it.is_ready() for it in hosts]):
            return True
        await asyncio.sleep(0.2)
    return False


class Client:
    """Sends single requests, each on a connection of its own."""

    def __init__(self, record):
        self.record = record
        self.number = 0

    async def send(self, host, path, key=None, method="POST", seconds=5):
        """Returns the id, when it was sent, and the status; 0 for none."""
        self.number += 1
        attempt = f"{self.number:016x}"
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"Attempt-Id: {attempt}",
            "Deadline-Ms: 4000",
            "Content-Length: 0",
        ]
        if key:
            lines.append(f"Api-Key: {key}")
        sent = time.monotonic()
        self.record.write("sent", id=attempt, to=host.name, path=path, key=key or "")
        status = 0
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(host.address, FRONT)
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                first, headers = await wire.read_head(reader)
                await wire.read_body(reader, headers)
                status = int(first.split()[1])
                wire.close(writer)
        except (OSError, wire.Broken, TimeoutError) as ec:
            self.record.write("no answer", id=attempt, why=str(ec))
        self.record.write("answered", id=attempt, status=status)
        return attempt, sent, status


def run_case(folder, case):
    """Runs case(net, record, hosts_folder) and returns its exit status."""
    if not PROGRAM.exists():
        print(f"{PROGRAM} is not built", file=sys.stderr)
        return 2
    # The processes are ended when the script is told to stop, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder)
    with tempfile.TemporaryDirectory() as work:
        hosts = []
        try:
            net = free_net()
            hosts = [Host(work, net, n) for n in range(1, 4)]
            status = asyncio.run(asyncio.wait_for(case(net, record, hosts), LIMIT_S))
        except (OSError, TimeoutError, asyncio.TimeoutError) as ec:
            record.write("could not run", why=repr(ec))
            status = 2
        finally:
            for host in hosts:
                host.end()
        record.write("end", status=status)
        return status
