"""Stand-ins of the platform's store, servers and requesters, and the start of
entry processes, for the scripts of review cases 6 to 10. Loopback only."""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {
    "strict_keys": "true",
    "key_removal_ms": 5000,
    "table_change_ms": 2000,
    "drain_ms": 2000,
    "shutdown_grace_s": 8,
    "retry_ratio": 0.2,
    "retry_extra": 126,
    "retry_window_s": 10,
}
KEY = "wsjnbanfqasnmgkcuyj8"
TEAM = "huka270"
HOST = "ficu95.example"


class Broken(Exception):
    """The other side closed the connection, or sent what is no message."""


async def read_head(reader):
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as ec:
        raise Broken(str(ec)) from ec
    lines = text[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon:
            raise Broken(f"no header line: {line!r}")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                line = await reader.readuntil(b"\r\n")
                size = int(line.split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return body
                body += data[:-2]
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError, ValueError) as ec:
        raise Broken(str(ec)) from ec


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    if "Transfer-Encoding" not in headers and "Content-Length" not in headers:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_answer(status, value):
    return message(
        f"HTTP/1.1 {status} X",
        {"Content-Type": "application/json"},
        json.dumps(value).encode(),
    )


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.began = time.monotonic()

    def say(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class Store:
    """The platform's store: items, leases, reads, watches and transactions."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.changed = asyncio.Condition()
        self.server = None

    async def listen(self, address):
        self.server = await asyncio.start_server(self.serve, address, 0)
        self.endpoint = f"{address}:{self.server.sockets[0].getsockname()[1]}"

    async def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {"created_at": self.revision})["created_at"]
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_at": created,
            "lease": lease,
        }
        self.items[key] = item
        await self.add_event(item)
        return self.revision

    async def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            await self.add_event(
                {"key": key, "revision": self.revision, "tombstone": True}
            )

    async def add_event(self, event):
        self.history.append(event)
        async with self.changed:
            self.changed.notify_all()

    async def expire(self):
        now = time.monotonic()
        for lease in [it for it, end in self.leases.items() if end < now]:
            del self.leases[lease]
            for key in [k for k, it in self.items.items() if it["lease"] == lease]:
                await self.remove(key)

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ", 2)
                answer = await self.call(method, target, json.loads(body or b"{}"))
                await asyncio.sleep(0.004)
                writer.write(json_answer(*answer))
                await writer.drain()
        except (Broken, ValueError, OSError, asyncio.CancelledError):
            pass  # The caller closed the connection, or the script ends.
        writer.close()

    async def call(self, method, target, body):
        await self.expire()
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
                "items": [self.items[it] for it in keys],
                "has_more": False,
                "current_rev": self.revision,
            }
        if url.path == "/-/kv-watch":
            after = int(query["after"])
            until = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [
                    it
                    for it in self.history
                    if it["revision"] > after
                    and it["key"].startswith(query["path_prefix"])
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current_rev": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if url.path == "/-/kv-lease":
            lease = 1000 + len(self.leases) + self.revision
            self.leases[lease] = time.monotonic() + body["ttl_ms"] / 1000
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        if url.path.startswith("/-/kv-keep/"):
            known = int(url.path.rsplit("/", 1)[1]) in self.leases
            return (200 if known else 404), {}
        if url.path == "/-/kv-txn":
            for put in body.get("puts", []):
                if put.get("lease", 0) and put["lease"] not in self.leases:
                    return 404, {}
                await self.put(
                    put["key"], base64.b64decode(put["value"]), put.get("lease", 0)
                )
            return 200, {"revision": self.revision}
        return 404, {}


def seal(attempt, body):
    return f"{len(body):x}.{sum(body) & 0xFFFF:x}.{attempt[:8]}"


class Server:
    """A server of a plain service. It holds self.work_s of work for each
    request, and answers with the attempt's id in the body."""

    def __init__(self, site, ident, service, slots=6):
        self.site = site
        self.id = ident
        self.service = service
        self.slots = slots
        self.work_s = 0.02
        self.running = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.writers = set()
        self.server = None

    async def start(self, address):
        self.server = await asyncio.start_server(
            self.serve, address, 0, limit=1 << 20, backlog=512
        )
        self.address = (address, self.server.sockets[0].getsockname()[1])
        await self.beat()

    async def beat(self):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": "nadia",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        await self.site.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    def crash(self):
        """Ends without a word: the port is closed and connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.answer(first, headers, body, writer)
                await writer.drain()
        except (Broken, ValueError, OSError, asyncio.CancelledError):
            pass  # The caller closed the connection, or the script ends.
        self.writers.discard(writer)
        writer.close()

    async def answer(self, first, headers, body, writer):
        method, path, _ = first.split(" ", 2)
        if path == "/health":
            writer.write(message("HTTP/1.1 200 OK", {"Instance-Id": self.id}))
            return
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.id) != self.id:
            self.site.record.say(f"{self.id} rejects {attempt}: other instance")
            writer.write(
                message(
                    "HTTP/1.1 421 Misdirected Request",
                    {"Instance-Id": self.id, "Not-Executed": "1"},
                )
            )
            return
        self.site.runs.setdefault(attempt, []).append(self.id)
        self.site.record.say(f"{self.id} runs {method} {path} {attempt}")
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        text = f"answer to {attempt}\n".encode()
        writer.write(
            message(
                "HTTP/1.1 200 OK",
                {
                    "Attempt-Id": attempt,
                    "Response-Seal": seal(attempt, text),
                    "Server-Load": f"{self.running + 1},0,{self.slots}",
                    "Keep-Alive": "timeout=5",
                    "Content-Length": str(len(text)),
                },
                b"" if method == "HEAD" else text,
            )
        )


SETTINGS = """\
host: {name}
failure_domain: nadia
link_mbps: 700
listen:
  address: {address}
  callers: {address}:{ports[0]}
  ready: {address}:{ports[1]}
  peer_port: {ports[2]}
  metrics_port: {ports[3]}
store:
  endpoint: {store}
peers:
  seeds: [{seeds}]
bounds:
"""


class EntryHost:
    """An entry process, started with the command of the deploy file."""

    def __init__(self, site, number):
        self.site = site
        self.name = f"front-nadia-{number}"
        self.address = f"{site.net}.1.{number}"
        self.port = site.ports[0]
        self.config = site.folder / f"{self.name}.yaml"
        self.log = open(site.folder / f"{self.name}.log", "ab")
        self.process = None
        self.ready = False
        self.ends = 0

    def write_settings(self):
        text = SETTINGS.format(
            name=self.name,
            address=self.address,
            ports=self.site.ports,
            store=self.site.store.endpoint,
            seeds=", ".join(
                f'"{self.site.net}.1.{n}:{self.site.ports[4]}"' for n in (1, 2, 3)
            ),
        )
        text += "".join(f"  {name}: {value}\n" for name, value in BOUNDS.items())
        self.config.write_text(text)

    def start(self):
        self.write_settings()
        self.process = subprocess.Popen(
            ["target/bin/ragwort-entry", "--config", str(self.config)],
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", "/"),
                "LANG": "C.UTF-8",
                "RAGWORTDECK_BOOT": str(self.config),
            },
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    def is_up(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.is_up():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def last_words(self):
        """The last lines that the process wrote that are no log entries."""
        text = (self.site.folder / f"{self.name}.log").read_text(errors="replace")
        lines = [it for it in text.splitlines() if it and not it.startswith("{")]
        return " ".join(lines[-1:])

    async def ask_ready(self):
        """One question as the platform's balancer asks it."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.address, self.site.ports[1]
                )
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                first, _ = await read_head(reader)
                writer.close()
                return " 200 " in first
        except (OSError, Broken, TimeoutError):
            return False

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.ask_ready():
                self.ready = True
                return True
            await asyncio.sleep(0.1)
        return False


class Site:
    """One store, servers and entry hosts, and what ran where."""

    def __init__(self, folder):
        self.random = random.Random()
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.temporary.name)
        self.net = f"127.{self.random.randint(32, 250)}"
        first = self.random.randint(20000, 29000)
        self.ports = list(range(first, first + 5))
        self.store = Store()
        self.runs = {}
        self.servers = []
        self.hosts = []
        self.config_version = 0
        self.tasks = []

    def config(self, **changes):
        state = {
            "routes": [
                {
                    "name": "r-order", "host": HOST, "path_prefix": "/order/",
                    "kind": "unsafe", "timeout_ms": 4000, "goal_ms": 300,
                    "priority": 1, "service": "haat-app", "max_attempts": 1,
                    "public": False, "sticky": False, "resumable": False,
                },
                {
                    "name": "r-look", "host": HOST, "path_prefix": "/look/",
                    "kind": "safe", "timeout_ms": 4000, "goal_ms": 300,
                    "priority": 1, "service": "haat-app", "max_attempts": 2,
                    "public": False, "sticky": False, "resumable": False,
                },
            ],
            "services": [
                {
                    "name": "haat-app", "health_path": "/health",
                    "max_connections": 248, "protocol": "h1", "tls": False,
                },
            ],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 4194304,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": TEAM, "api_keys": [KEY], "priority": 1}],
        }
        state.update(changes)
        return state

    async def write_config(self, state):
        self.config_version += 3
        await self.store.put(
            "op/config",
            json.dumps({"version": self.config_version, **state}).encode(),
        )
        self.record.say(f"operator: version {self.config_version} acknowledged")

    async def beats(self):
        while True:
            await asyncio.sleep(1.2)
            for server in self.servers:
                if server.server.is_serving():
                    await server.beat()

    async def start(self, hosts, servers, config=None):
        await self.store.listen(f"{self.net}.0.1")
        await self.write_config(config or self.config())
        for n in range(servers):
            server = Server(self, f"i-app{n}", "haat-app")
            await server.start(f"{self.net}.2.{n + 1}")
            self.servers.append(server)
        self.tasks.append(asyncio.ensure_future(self.beats()))
        for n in range(hosts):
            self.hosts.append(EntryHost(self, n + 1))
            self.hosts[-1].start()
        for host in self.hosts:
            if not await host.wait_ready():
                raise RuntimeError(f"{host.name} is not ready")
        self.record.say(f"{hosts} entry processes ready")

    def stop(self):
        for host in self.hosts:
            host.kill()
            host.log.close()
        for task in self.tasks:
            task.cancel()
        self.temporary.cleanup()


def run_case(folder, case):
    """Runs the coroutine case(site), which returns the exit status."""
    site = Site(folder)

    async def body():
        try:
            async with asyncio.timeout(115):
                return await case(site)
        except (RuntimeError, TimeoutError, OSError) as ec:
            site.record.say(f"could not run: {ec!r}")
            return 2
        finally:
            site.stop()

    # So that the processes end also when the script is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    status = 2
    try:
        status = asyncio.run(body())
    finally:
        site.stop()
        site.record.say(f"exit status {status}")
        print({0: "held", 1: "BROKEN", 2: "could not run"}[status])
    sys.exit(status)
