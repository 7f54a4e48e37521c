"""One entry process with stand-ins of the store and of a service."""

import asyncio
import collections
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "Soak"))
import store
import targets
import wire
from program_site import (
    LARGE_ANSWER,
    MAX_BODY,
    MAX_HEADER,
    TIMEOUT_MS,
    ProgramSite,
)

HOST = "limits.example"
KEY = "steady"
# Of the machine that the entry process is told it runs on.
MEMORY_MB = 64
PROGRAM = "ragwort-entry"

SETTINGS = """\
host: limits
failure_domain: a
link_mbps: 1000
listen:
  address: {net}.2.1
  callers: {net}.2.1:9100
  ready: {net}.2.1:9101
  peer_port: 9102
  metrics_port: 9103
store:
  endpoint: {net}.0.1:9000
"""


class Service(targets.Target):
    """Answers at once; under the route "large" with a large body."""

    async def plain(self, attempt, writer):
        await asyncio.sleep(0)
        body = targets.plain_body(attempt, self.service).encode()
        if attempt.startswith("large"):
            body = b"a" * LARGE_ANSWER
        writer.write(
            wire.message(
                "HTTP/1.1 200 OK",
                {"Attempt-Id": attempt, "Response-Seal": "seal"},
                body,
            )
        )
        return True


class EntrySite(ProgramSite):
    """Also stands for the world that the stand-ins of the soak know."""


    def __init__(self, folder, programs, net, descriptors):
        super().__init__(folder, programs / PROGRAM, MEMORY_MB, descriptors)
        self.net = f"127.{net}"
        self.store = store.Store()
        self.ledger = targets.Ledger()
        self.targets = {}
        self.address = f"{self.net}.2.1"
        self.port = 9100
        self.counts = collections.Counter()

    def finding(self, text):
        self.findings.append(text)

    def settings(self):
        return SETTINGS.format(net=self.net)

    def put_table(self):
        kinds = {"safe": "safe", "unsafe": "unsafe", "large": "safe"}
        table = {
            "version": 1,
            "routes": [
                {
                    "name": name,
                    "host": HOST,
                    "path_prefix": f"/{name}/",
                    "kind": kind,
                    "timeout_ms": TIMEOUT_MS,
                    "goal_ms": TIMEOUT_MS,
                    "gap_target_ms": TIMEOUT_MS,
                    "priority": 1,
                    "service": "shop",
                    "max_attempts": 1,
                    "resumable": False,
                }
                for name, kind in kinds.items()
            ],
            "services": [{"name": "shop", "max_connections": 500}],
            "limits": {
                "max_header_bytes": MAX_HEADER,
                "max_body_bytes": MAX_BODY,
                "header_timeout_ms": TIMEOUT_MS,
                "idle_timeout_ms": TIMEOUT_MS,
            },
            "tenants": [{"name": "bakers", "api_keys": [KEY]}],
        }
        self.store.put("op/config", json.dumps(table).encode())

    async def beat(self, target):
        while True:
            target.beat()
            await asyncio.sleep(1)

    async def start(self):
        await self.store.listen("limits", f"{self.net}.0.1", 9000)
        for n in range(2):
            target = Service(self, f"t{n}", "shop", f"{self.net}.10.{n + 1}", n)
            target.zone = "a"
            await target.start()
            self.targets[target.id] = target
            self.tasks.append(asyncio.ensure_future(self.beat(target)))
        self.put_table()
        self.start_process()
        await self.wait_ready()

    async def wait_ready(self):
        while self.process.is_up():
            try:
                reader, writer = await asyncio.open_connection(self.address, 9101)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                first, _ = await wire.read_head(reader)
                writer.close()
                if " 200 " in first:
                    return
            except (OSError, wire.Broken):
                pass  # It does not listen yet.
            await asyncio.sleep(0.05)

    def head(self, route, attempt):
        """Returns a function that makes the head of a request with one more
        header."""
        method = "POST" if route == "unsafe" else "GET"
        return lambda header: (
            f"{method} /{route}/x HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Attempt-Id: {attempt}\r\nDeadline-Ms: {TIMEOUT_MS}\r\n"
            f"Api-Key: {KEY}\r\n{header}\r\n\r\n"
        ).encode()

    def crowd_head(self, number):
        return self.head("unsafe", f"crowd-{number}")

    def large_request(self, number):
        return self.head("large", f"large-{number}")("X-None: 1")

    async def ask_ordinary(self):
        status, body = await self.ask(self.head("safe", "ordinary")("X-None: 1"))
        expected = targets.plain_body("ordinary", "shop").encode()
        return status if status != 200 or body == expected else "another body"
