"""A small deployment on loopback for the review's scripts.

Starts the entry process of the deploy file as separate processes, with the
settings template of the deploy file and the figures of a small deployment.
The platform's store, the servers and the clients are stand-ins in the calling
process; they do what PROTOCOL.md says and nothing else.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST_NAME = "shop.example"
# The bounds of the deployment taa-hq, as SYSTEM.md states them.
BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra": 129,
}
MEMORY_MB = 96


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Broken(Exception):
    """The other side closed the connection, or sent what is no message."""


async def read_head(reader):
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as ec:
        partial = getattr(ec, "partial", b"")
        raise Broken(f"{type(ec).__name__} after {partial[:80]!r}") from ec
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError,
            ValueError) as ec:
        raise Broken(str(ec)) from ec
    return data[:-2]


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    try:
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError) as ec:
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


class Store:
    """The platform's store: one revision counter, items, leases, a history."""

    def __init__(self, site):
        self.site = site
        self.revision = 100
        self.items = {}
        self.leases = {}
        self.next_lease = 1
        self.history = []
        self.changed = asyncio.Event()
        # A test may delay or drop calls: hook(who, method, path) -> seconds to
        # wait before the answer, or None to say nothing.
        self.hook = lambda who, method, path: 0

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
        self.note({**self.items[key]})
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "tombstone": True})

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        for lease in [it for it, end in self.leases.items() if end < now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, it in self.items.items() if it["lease"] == lease]:
            self.remove(key)

    async def serve(self, reader, writer):
        who = writer.get_extra_info("peername")[0]
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                wait = self.hook(who, method, url.path)
                if wait is None:
                    await asyncio.sleep(3600)
                await asyncio.sleep(wait)
                answer = await self.call(method, url, json.loads(body or b"{}"))
                writer.write(json_answer(*answer))
                await writer.drain()
        except (Broken, OSError, asyncio.CancelledError):
            pass
        writer.close()

    async def call(self, method, url, body):
        self.expire()
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/-/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"current_rev": self.revision}
            return 200, {**item, "current_rev": self.revision}
        if url.path == "/-/kv-range":
            prefix, after = query["path_prefix"], query.get("after", "")
            keys = sorted(
                it for it in self.items if it.startswith(prefix) and it > after
            )
            return 200, {
                "items": [self.items[it] for it in keys[:50]],
                "has_more": len(keys) > 50,
                "current_rev": self.revision,
            }
        if url.path == "/-/kv-watch":
            end = time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [
                    it
                    for it in self.history
                    if it["revision"] > int(query["after"])
                    and it["key"].startswith(query["path_prefix"])
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current_rev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass
        if url.path == "/-/kv-lease":
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = time.monotonic() + body["ttl_ms"] / 1000
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        if url.path.startswith("/-/kv-keep/"):
            lease = int(url.path.rsplit("/", 1)[1])
            return (200, {}) if lease in self.leases else (404, {})
        if url.path == "/-/kv-txn":
            for put in body.get("puts", []):
                if put.get("lease", 0) and put["lease"] not in self.leases:
                    return 404, {}
            for put in body.get("puts", []):
                self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
            for key in body.get("remove", []):
                self.remove(key)
            return 200, {"revision": self.revision}
        return 404, {}


class Server:
    """A server of a service. answer(server, request, writer) is a coroutine
    that may replace the usual answer of a run; it returns whether the
    connection is kept."""

    def __init__(self, site, ident, service, address, zone, slots):
        self.site = site
        self.id = ident
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.work_s = 0.03
        self.answer = None
        self.writers = set()
        self.listener = None

    async def start(self):
        self.listener = await asyncio.start_server(
            self.serve, *self.address, limit=1 << 20
        )
        self.beat()

    def entry(self):
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def beat(self):
        self.sequence += 1
        self.site.store.put(f"servers/{self.id}", json.dumps(self.entry()).encode())

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                if not await self.handle(method, path, headers, body, writer):
                    break
                await writer.drain()
        except (Broken, OSError, ValueError, asyncio.CancelledError):
            pass
        self.writers.discard(writer)
        writer.close()

    async def handle(self, method, path, headers, body, writer):
        if path == "/-/report":
            writer.write(json_answer(200, {"stage": "both", "born": self.born}))
            return True
        if path == "/health":
            writer.write(message("HTTP/1.1 200 OK", {"Instance-Id": self.id}))
            return True
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(
                message(
                    "HTTP/1.1 421 Misdirected Request",
                    {"Attempt-Id": attempt, "Not-Executed": "1"},
                )
            )
            return True
        if not attempt:
            writer.write(message("HTTP/1.1 400 X", {"Not-Executed": "1"}))
            return True
        self.site.record(
            "run", id=attempt, server=self.id, service=self.service, method=method,
            path=path, tenant=headers.get("tenant"), bytes=len(body),
            deadline=headers.get("deadline-ms"),
        )
        self.site.runs.setdefault(attempt, []).append((time.monotonic(), self))
        request = {"id": attempt, "method": method, "path": path,
                   "headers": headers, "body": body}
        if self.answer:
            return await self.answer(self, request, writer)
        await asyncio.sleep(self.work_s)
        writer.write(self.plain(request))
        return True

    def plain(self, request):
        body = f"{self.service} answers {request['id']}\n".encode() * 20
        text = message(
            "HTTP/1.1 200 OK",
            {
                "Attempt-Id": request["id"],
                "Response-Seal": seal(body),
                "Content-Type": "text/plain",
                "Server-Load": f"1,0,{self.slots}",
                "Keep-Alive": "timeout=5",
            },
            body,
        )
        # The answer to HEAD is that to GET without its body.
        return text[: -len(body)] if request["method"] == "HEAD" else text


def seal(body):
    return f"{sum(body) * 2654435761 % (1 << 32):08x}.{len(body):x}"


class Entry:
    """An entry process, started with the command of the deploy file."""

    def __init__(self, site, number, address, zone):
        self.site = site
        self.name = f"front-{zone}-{number}"
        self.address = address
        self.zone = zone
        self.process = None
        self.settings = site.folder / f"{self.name}.yaml"
        self.log = open(site.folder / f"{self.name}.log", "ab")

    def fields(self):
        site = self.site
        return {
            "node": self.name,
            "zone": self.zone,
            "ip": self.address,
            "listen": {
                "front": f"{self.address}:{site.front_port}",
                "ready": f"{self.address}:{site.ready_port}",
            },
            "internal_ports": [site.peer_port, site.metrics_port],
            "seed_nodes": [],
            "limits": {"link_mbps": 700.0, "memory_mb": MEMORY_MB},
            "platform": {"address": f"{site.store_address}:{site.store_port}"},
            "bounds": BOUNDS,
        }

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        template = (ROOT / role["template"]).read_text()
        self.settings.write_text(fill(template, self.fields()))
        words = [
            str(self.settings) if it == "/etc/ragwortdeck/boot.yaml" else it
            for it in role["run"].split()
        ]
        if not (ROOT / words[0]).exists():
            raise CannotRun(f"{words[0]} is not built")
        self.process = subprocess.Popen(
            words,
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.site.record("entry_started", entry=self.name, pid=self.process.pid)

    def memory_mb(self):
        """The process's own memory, without files and libraries."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"RssAnon:\s+(\d+) kB", text)
        return int(found[1]) / 1024 if found else 0.0

    def is_up(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.is_up():
            self.process.send_signal(number)

    def end(self):
        if self.is_up():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()
        self.log.close()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.address, self.site.ready_port
            )
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in first
        except (OSError, Broken, TimeoutError):
            return False


def fill(template, fields):
    """Fills in the placeholders of the kinds that the template uses."""

    def value(found):
        name, _, form = found[1].partition("|")
        it = fields
        for part in name.split("."):
            it = it[int(part)] if isinstance(it, list) else it[part]
        if form == "json" or isinstance(it, bool):
            return json.dumps(it)
        return str(it)

    return re.sub(r"\{\{([^}]+)\}\}", value, template)


class Channel:
    """A client's connection to an entry process."""

    def __init__(self, site, entry):
        self.site = site
        self.entry = entry
        self.reader = None
        self.writer = None
        self.served = 0

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(
                self.entry.address, self.site.front_port, limit=1 << 24
            ),
            5,
        )
        return self

    def close(self):
        if self.writer:
            self.writer.close()

    def send(self, ident, method, path, headers=(), body=b"", key=None,
             deadline=4000):
        lines = {
            "Host": HOST_NAME,
            "Attempt-Id": ident,
            "Deadline-Ms": str(deadline),
        }
        if key is None:
            key = self.site.key
        if key:
            lines["Api-Key"] = key
        lines.update(dict(headers))
        first = f"{method} {path} HTTP/1.1"
        if "Transfer-Encoding" in lines or (not body and method in ("GET", "HEAD")):
            text = message(first, {**lines, "Content-Length": ""}, b"")
            text = text.replace(b"Content-Length: \r\n", b"") + body
        else:
            text = message(first, lines, body)
        self.site.record("sent", id=ident, entry=self.entry.name, method=method,
                         path=path, key=key, bytes=len(body))
        self.site.sent[ident] = time.monotonic()
        self.writer.write(text)

    async def answer(self, ident, method="GET", timeout=8):
        """Status, headers and body of the answer; Broken when the channel ends
        or carries something else."""
        try:
            async with asyncio.timeout(timeout):
                first, headers = await read_head(self.reader)
                if not re.match(r"HTTP/1\.1 \d{3}( |$)", first):
                    raise Broken(f"no answer: {first[:80]!r}")
                status = int(first.split()[1])
                body = b""
                if method != "HEAD" and status not in (204, 304):
                    body = await read_body(self.reader, headers)
        except (Broken, TimeoutError) as ec:
            self.site.record("no_answer", id=ident, why=str(ec) or "no answer in time")
            if isinstance(ec, TimeoutError):
                raise Broken("no answer in time") from ec
            raise
        self.served += 1
        self.site.record("answered", id=ident, status=status, bytes=len(body),
                         by=headers.get("attempt-id"),
                         seal=headers.get("response-seal"))
        return status, headers, body

    async def ask(self, ident, method, path, timeout=8, **rest):
        self.send(ident, method, path, **rest)
        return await self.answer(ident, method, timeout)


class Site:
    def __init__(self, folder):
        self.case = pathlib.Path(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.random = random.Random()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.net = f"127.{self.random.randint(20, 250)}.{self.random.randint(1, 250)}"
        self.store_address = f"{self.net}.1"
        self.began = time.monotonic()
        self.records = open(self.case / "record.txt", "w")
        self.runs = {}
        self.sent = {}
        self.entries = []
        self.servers = []
        self.listeners = []
        self.key = "key-of-nairobi"
        self.version = 1
        ports = free_ports(self.net, 6)
        (self.front_port, self.ready_port, self.peer_port, self.metrics_port,
         self.store_port, self.server_port) = ports
        self.store = Store(self)
        self.routes = [
            self.route("deposit", "unsafe", "app", 1),
            self.route("lookup", "safe", "app", 2),
            self.route("runsheet", "streaming", "llm", 1),
        ]
        self.tenants = [{"name": "nairobi", "api_keys": [self.key]}]
        self.limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        self.record("site", net=self.net, trouble=self.trouble, bounds=BOUNDS)

    def record(self, what, **fields):
        at = round(time.monotonic() - self.began, 4)
        print(json.dumps({"at": at, "what": what, **fields}), file=self.records,
              flush=True)

    def route(self, name, kind, service, attempts):
        return {
            "name": name,
            "host": HOST_NAME,
            "path_prefix": f"/{name}/",
            "service": service,
            "kind": kind,
            "timeout_ms": 39000 if kind == "streaming" else 4000,
            "goal_ms": 1800 if kind == "streaming" else 1000,
            "gap_target_ms": 180,
            "max_attempts": attempts,
            "priority": 1,
            "resumable": False,
            "sticky": kind == "streaming",
        }

    def put_config(self):
        """Writes the desired state; returns the time of the ack."""
        self.version += self.random.randint(1, 9)
        config = {
            "version": self.version,
            "routes": self.routes,
            "services": [
                {"name": "app", "health_path": "/health", "max_connections": 244},
                {"name": "llm", "health_path": "/health", "max_connections": 538},
            ],
            "limits": self.limits,
            "tenants": self.tenants,
        }
        self.store.put("op/config", json.dumps(config).encode())
        acked = time.monotonic()
        self.record("config_acked", version=self.version, tenants=self.tenants)
        return acked

    async def add_server(self, service, slots=6):
        number = len(self.servers) + 1
        server = Server(self, f"i-{self.random.getrandbits(32):08x}", service,
                        (f"{self.net}.{100 + number}", self.server_port), "nbo-a",
                        slots)
        self.servers.append(server)
        await server.start()
        return server

    async def start(self, entries=2, apps=3, engines=0):
        self.listeners.append(
            await asyncio.start_server(
                self.store.serve, self.store_address, self.store_port, limit=1 << 22
            )
        )
        self.put_config()
        for _ in range(apps):
            await self.add_server("app")
        for _ in range(engines):
            await self.add_server("llm", 24)
        for n in range(entries):
            entry = Entry(self, n + 1, f"{self.net}.{10 + n}", "nbo-a")
            self.entries.append(entry)
            entry.start()
        end = time.monotonic() + 20
        for entry in self.entries:
            while not await entry.is_ready():
                if time.monotonic() > end or not entry.is_up():
                    raise CannotRun(f"{entry.name} does not become ready")
                await asyncio.sleep(0.1)
        # So that each machine is in touch: contact_ms without any disruption.
        await asyncio.sleep(BOUNDS["contact_ms"] / 1000 + 0.5)

    def end(self):
        for entry in self.entries:
            entry.end()
        for entry in self.entries:
            shutil.copyfile(
                self.folder / f"{entry.name}.log", self.folder / f"{entry.name}.txt"
            )
        self.records.close()
        if os.environ.get("KEEP"):
            print(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def free_ports(net, count):
    """Ports that are free at all addresses of the deployment: bound to the
    wildcard address for a moment."""
    sockets = []
    for _ in range(count):
        it = socket.socket()
        it.bind(("0.0.0.0", 0))
        sockets.append(it)
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


def main(case_file, play, limit_s=100):
    """Plays a case: play(site) returns the reasons why the rule is broken, an
    empty list when it held. Ends the program with 0, 1 or 2."""
    folder = pathlib.Path(case_file).resolve().parent

    async def run():
        # When it is told to stop, it ends what it started.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        site = Site(folder)
        try:
            async with asyncio.timeout(limit_s):
                reasons = await play(site)
            site.record("verdict", broken=bool(reasons), reasons=reasons)
            for reason in reasons:
                print(reason)
            print("the rule was broken" if reasons else "the rule held")
            return 1 if reasons else 0
        except (CannotRun, TimeoutError, OSError, Broken,
                asyncio.CancelledError) as ec:
            site.record("cannot_run", why=repr(ec))
            print(f"the case could not run: {ec!r}")
            return 2
        finally:
            site.end()

    sys.exit(asyncio.run(run()))
