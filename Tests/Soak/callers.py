"""Callers of the soak. Each checks what it gets against the promises."""

import asyncio
import itertools
import time

import targets
import wire

HOST = "soak.example"
NUMBERS = itertools.count(1)


class Caller:
    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.connection = None
        self.host = None

    async def run(self):
        random = self.world.random
        while not self.world.over:
            kind = random.choices(
                ["safe", "unsafe", "short", "long"], weights=[3, 4, 3, 2]
            )[0]
            try:
                await self.request(kind)
            except (wire.Broken, OSError, TimeoutError):
                # Promises nothing; whether that may be is checked elsewhere.
                self.leave()
            await asyncio.sleep(random.uniform(0, 0.05))

    def leave(self):
        if self.connection:
            wire.close(self.connection[1], reset=True)
        self.connection = None

    async def connect(self):
        # An open connection is used until its process is gone.
        if self.connection and self.world.random.random() < 0.9:
            return
        self.leave()
        ready = [it for it in self.world.hosts if it.ready] or self.world.hosts
        self.host = self.world.random.choice(ready)
        async with asyncio.timeout(1):
            self.connection = await asyncio.open_connection(self.host.address, 9100)

    def head(self, kind, attempt, key, events):
        method = "GET" if kind == "safe" else "POST"
        lines = [
            f"{method} /{kind}/x HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: {attempt}",
            "Deadline-Ms: 4000",
            f"Api-Key: {key}",
            "Content-Length: 0",
        ]
        if kind in ("short", "long"):
            lines.append(f"Token-Count: 100,{events * targets.TOKENS_PER_EVENT}")
            lines.append("Model: m")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def request(self, kind):
        world = self.world
        attempt = f"{self.name}x{next(NUMBERS)}"
        await self.connect()
        reader, writer = self.connection
        events = world.random.randint(2, 5 if kind == "short" else 120)
        key, steady = world.pick_key()
        sent = time.monotonic()
        world.sent[attempt] = (sent, kind, key, self.host, writer)
        writer.write(self.head(kind, attempt, key, events))
        leaves = kind == "long" and world.random.random() < 0.1
        async with asyncio.timeout(0.3 if leaves else 8):
            first, headers = await wire.read_head(reader)
            status = int(first.split()[1])
            if headers.get("transfer-encoding") == "chunked":
                await self.read_stream(reader, attempt, events)
            else:
                body = await wire.read_body(reader, headers)
                self.check(attempt, kind, status, headers, body, steady)
        world.count(kind, status)
        if headers.get("connection") == "close":
            self.leave()
        if status == 503:
            retry_after = float(headers.get("retry-after", 0))
            await asyncio.sleep(min(0.5, retry_after))

    def check(self, attempt, kind, status, headers, body, steady):
        world = self.world
        runs = world.ledger.count(attempt)
        if status in (401, 403, 404) and steady:
            world.finding(f"{attempt}: {status} though key and route always stood")
        if status in (408, 421, 429, 503) and kind != "safe":
            world.refused[attempt] = (status, self.host.name)
            if runs > 0 and kind != "short":
                world.finding(f"{attempt}: {status} from {self.host.name}, but ran")
        if 200 <= status < 300:
            text = body.decode("latin-1")
            if headers.get("attempt-id") != attempt:
                world.finding(f"{attempt}: got the answer of {headers}")
            if headers.get("response-seal") != targets.seal(text):
                world.finding(f"{attempt}: the body is not what the target sent")
            if attempt not in text:
                world.finding(f"{attempt}: the body belongs to another request")

    async def read_stream(self, reader, attempt, events):
        """The pieces come in order, each once; a complete end has them all."""
        number = 0
        while chunk := await wire.read_chunk(reader):
            for piece in chunk.split(b"\n\n")[:-1]:
                number += 1
                if piece + b"\n\n" != targets.event(attempt, number):
                    self.world.finding(f"{attempt}: piece {number} is {piece!r}")
        if number != events:
            self.world.finding(f"{attempt}: complete after {number} of {events}")
