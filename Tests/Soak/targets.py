"""Stand-ins of engines and services, each behind a link that can be harmed."""

import asyncio
import hashlib
import json
import time

import wire

ZONES = ["a", "b", "c"]
TOKENS_PER_EVENT = 4


def seal(text):
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def plain_body(attempt, service):
    return f"{service} answers {attempt}\n" * 5


def event(attempt, number):
    return f"id: {number}\ndata: {attempt} {number}\n\n".encode()


class Link:
    """A loopback proxy before a target. mode: "ok", "delay", "reset",
    "one way" (answers are dropped) or "silent"."""

    def __init__(self, to):
        self.to = to
        self.mode = "ok"
        self.writers = set()
        self.server = None

    async def listen(self, address, port):
        self.server = await asyncio.start_server(self.serve, address, port)

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            self.cut()

    def cut(self):
        for writer in list(self.writers):
            wire.close(writer, reset=True)

    async def serve(self, reader, writer):
        if self.mode == "reset":
            wire.close(writer, reset=True)
            return
        try:
            to_reader, to_writer = await asyncio.open_connection(*self.to)
        except OSError:
            wire.close(writer, reset=True)
            return
        self.writers |= {writer, to_writer}
        try:
            await asyncio.gather(
                self.pump(reader, to_writer, False), self.pump(to_reader, writer, True)
            )
        except asyncio.CancelledError:
            pass  # The soak ends.
        self.writers -= {writer, to_writer}

    async def pump(self, reader, writer, is_answer):
        lost = False
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.05)
                if self.mode == "silent" or (self.mode == "one way" and is_answer):
                    lost = True
                    continue
                if lost:
                    # Bytes that a cut held up are lost with their connection.
                    wire.close(writer, reset=True)
                    return
                writer.write(data)
                await writer.drain()
            writer.close()
        except (OSError, RuntimeError):
            wire.close(writer, reset=True)


class Ledger:
    """What ran where: one for all targets."""

    def __init__(self):
        self.runs = {}
        self.memory = {}

    def ran(self, attempt, target):
        self.runs.setdefault(attempt, []).append((time.monotonic(), target))

    def count(self, attempt):
        return len(self.runs.get(attempt, []))


class Target:
    """An engine or a server. fault: None, "errors", "lost" (it runs and its
    answer is lost), "extra" (bytes after the answer), "cut" or "full"."""

    def __init__(self, world, ident, service, address, index):
        self.world = world
        self.id = ident
        self.service = service
        self.zone = ZONES[index % len(ZONES)]
        self.address = (address, 9200)
        self.link = Link((address, 9300))
        self.fault = None
        self.state = "ready"
        self.leaves_at = None
        self.sequence = 0
        self.streams = {}
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.link.to)
        await self.link.listen(*self.address)
        self.beat()

    def beat(self):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": 24,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
        }
        self.world.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    def drain(self, seconds):
        self.state = "draining"
        self.leaves_at = time.monotonic() + seconds
        self.beat()

    def end(self):
        """Ends like a crash: nothing is said."""
        for server in (self.server, self.link.server):
            if server:
                server.close()
        self.link.cut()
        for writer in list(self.writers):
            wire.close(writer, reset=True)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await wire.read_head(reader)
                body = await wire.read_body(reader, headers)
                if not await self.answer(first, headers, body, writer):
                    break
                await wire.drain(writer)
        except (wire.Broken, ValueError, asyncio.CancelledError):
            pass  # The host closed the connection, or the soak ends.
        self.writers.discard(writer)
        wire.close(writer)

    async def answer(self, first, headers, body, writer):
        """False when the connection ends with it."""
        method, path, _ = first.split(" ", 2)
        if path.startswith("/-/report"):
            writer.write(wire.json_answer(200, self.report()))
            return True
        if path.startswith("/-/kv-move"):
            writer.write(wire.json_answer(*await self.move(json.loads(body))))
            return True
        attempt = headers.get("attempt-id", "")
        if "api-key" in headers:
            self.world.finding(f"{attempt}: the key reached {self.id}")
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(wire.message("HTTP/1.1 421 X", {"Instance-Id": self.id}))
            return True
        if self.fault == "full":
            writer.write(wire.message("HTTP/1.1 503 X", {"Not-Executed": "1"}))
            return True
        goes_on = self.world.ledger.memory.pop(headers.get("kv-from"), None)
        if "kv-from" in headers and goes_on != attempt:
            writer.write(wire.message("HTTP/1.1 503 X", {"Not-Executed": "1"}))
            return True
        if not goes_on:
            self.world.ledger.ran(attempt, self)
        if self.service == "engines":
            return await self.stream(attempt, headers, writer)
        return await self.plain(attempt, writer)

    async def plain(self, attempt, writer):
        await asyncio.sleep(self.world.random.uniform(0.002, 0.03))
        if self.fault == "lost":
            return False
        if self.fault == "errors" and self.world.random.random() < 0.5:
            writer.write(wire.message("HTTP/1.1 500 X", {"Attempt-Id": attempt}))
            return True
        body = plain_body(attempt, self.service)
        answer = wire.message(
            "HTTP/1.1 200 OK",
            {
                "Attempt-Id": attempt,
                "Response-Seal": seal(body),
                "Server-Load": "1,0,24",
                "Keep-Alive": "timeout=5",
            },
            body.encode(),
        )
        if self.fault == "cut":
            writer.write(answer[:-10])
            return False
        writer.write(answer)
        if self.fault == "extra":
            writer.write(b"HTTP/1.1 200 OK\r\nAttempt-Id: another\r\n"
                         b"Content-Length: 3\r\n\r\nbad")
        return True

    async def stream(self, attempt, headers, writer):
        head = {
            "Attempt-Id": attempt,
            "Response-Seal": seal(attempt),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        last = int(headers["token-count"].split(",")[1]) // TOKENS_PER_EVENT
        run = {"stop": False, "made": int(headers.get("last-event-id") or 0)}
        self.streams[attempt] = run
        await asyncio.sleep(0.02)
        if self.fault == "lost":
            return False
        writer.write(wire.message("HTTP/1.1 200 OK", head))
        try:
            while run["made"] < last:
                if run["stop"] or (self.fault == "cut" and run["made"] % 7 == 6):
                    return False
                run["made"] += 1
                data = event(attempt, run["made"])
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await wire.drain(writer)
                await asyncio.sleep(0.01)
            writer.write(b"0\r\n\r\n")
        finally:
            if self.streams.get(attempt) is run:
                del self.streams[attempt]
        return True

    def report(self):
        report = {"stage": "both", "running": len(self.streams), "waiting": 0}
        if self.leaves_at:
            report["state"] = "draining"
            report["leaves_ms"] = max(0, (self.leaves_at - time.monotonic()) * 1000)
        return report

    async def move(self, call):
        run = self.streams.get(call["id"])
        if run is None or run["stop"]:
            return 404, {}
        to = self.world.target_at(call["to"])
        await asyncio.sleep(0.02)
        if to is None or to.link.mode != "ok":
            return 503, {}
        handle = f"{self.address[0]}:{self.address[1]}/m{call['id']}"
        if call.get("final"):
            run["stop"] = True
            self.world.ledger.memory[handle] = call["id"]
        return 200, {"handle": "m" + call["id"], "created_at": run["made"]}
