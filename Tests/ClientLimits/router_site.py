"""One router process with stand-ins of a service and of an engine."""

import asyncio
import base64
import hashlib
import hmac
import json
import subprocess

import wire
from process import MB
from program_site import (
    LARGE_ANSWER,
    MAX_BODY,
    MAX_HEADER,
    TIMEOUT_MS,
    ProgramSite,
)

KEY_ID = "k1"
SECRET = "a-secret-of-16-bytes-or-more"
KEYS = f"keys:\n- {{id: {KEY_ID}, secret: {SECRET}}}\n"
TEAM = "bakers"
# Of the machine that the router is told it runs on.
MEMORY_MB = 128
# Of an answer that an engine does not end.
ENDLESS_ANSWER = 16 * MB
PROGRAM = "ragwort-router"
CTL = "ragwort-ctl"

SETTINGS = """\
host: limits
listen: {address}:{port}
threads: 2
dispatcher: least-outstanding
load_period_ms: 0
{keys}limits:
  max_body_bytes: {max_body}
  max_header_bytes: {max_header}
  idle_timeout_ms: {timeout}
  request_timeout_ms: {timeout}
  slow_caller_timeout_ms: {timeout}
timeouts: {{service_ms: {timeout}}}
bootstrap_view:
  teams:
  - {{team: bakers}}
  kinds:
  - {{kind: level, class: short, repeat: idempotent}}
  targets:
  - {{id: stock-1, role: service, address: "{address}:9301", models: [stock]}}
  - {{id: engine-1, role: engine, address: "{address}:9302", models: [drafts]}}
  models:
  - {{model: drafts}}
  entry_hosts: [limits]
"""


def response_id(engine_id):
    """The id of an answer of engine-1, as the router issues it."""

    def text(value):
        return bytes([0xA0 + len(value)]) + value.encode()

    fields = text("engine-1") + text(engine_id) + b"\x01" + text(TEAM) + text(KEY_ID)
    body = b"\x95" + fields
    mac = hmac.new(SECRET.encode(), b"response\0" + body, hashlib.sha256).digest()
    return "resp_" + base64.urlsafe_b64encode(body + mac).decode().rstrip("=")


class RouterSite(ProgramSite):

    def __init__(self, folder, programs, net, descriptors):
        super().__init__(folder, programs / PROGRAM, MEMORY_MB, descriptors)
        self.ctl = str(programs / CTL)
        self.address = f"127.{net}.0.1"
        self.port = 9300
        self.token = None

    def settings(self):
        return SETTINGS.format(
            address=self.address,
            port=self.port,
            keys=KEYS,
            max_body=MAX_BODY,
            max_header=MAX_HEADER,
            timeout=TIMEOUT_MS,
        )

    def issue_token(self):
        path = self.folder / "ctl.yaml"
        path.write_text(KEYS)
        command = [self.ctl, "--config", str(path), "team-key", TEAM]
        return subprocess.run(
            command, check=True, capture_output=True, text=True
        ).stdout.strip()

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await wire.read_head(reader)
                await wire.read_body(reader, headers)
                body = b"a" * LARGE_ANSWER if "large" in first else b'{"left":3}'
                head = {"Content-Type": "application/json"}
                writer.write(wire.message("HTTP/1.1 200 OK", head, body))
                await wire.drain(writer)
        except (wire.Broken, asyncio.CancelledError):
            pass  # The router closed the connection, or the test ends.
        wire.close(writer)

    async def serve_engine(self, reader, writer):
        """Begins an event, or a reply, and goes on with it."""
        try:
            first, headers = await wire.read_head(reader)
            await wire.read_body(reader, headers)
            kind = "text/event-stream" if "POST" in first else "application/json"
            writer.write(
                f"HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\n\r\ndata: ".encode()
            )
            for _ in range(ENDLESS_ANSWER // 65536):
                writer.write(b"e" * 65536)
                await wire.drain(writer)
            await asyncio.sleep(TIMEOUT_MS / 1000)
        except (wire.Broken, asyncio.CancelledError):
            pass  # The router closed the connection, or the test ends.
        wire.close(writer)

    async def start(self):
        self.token = self.issue_token()
        await asyncio.start_server(self.serve_engine, self.address, 9302)
        await asyncio.start_server(self.serve, self.address, 9301)
        self.start_process()
        while self.process.is_up():
            status, _ = await self.ask(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            if status == 200:
                return
            await asyncio.sleep(0.05)

    def head(self, operation, method="GET"):
        """Returns a function that makes the head of a request with one more
        header."""
        return lambda header: (
            f"{method} /v1/services/stock/{operation} HTTP/1.1\r\nHost: limits\r\n"
            f"Authorization: Bearer {self.token}\r\n"
            f"Content-Type: application/json\r\n{header}\r\n\r\n"
        ).encode()

    def crowd_head(self, _):
        return self.head("level", "POST")

    def large_request(self, _):
        return self.head("large")("X-None: 1")

    def stream_request(self, _):
        body = json.dumps({"model": "drafts", "input": "x", "stream": True})
        return (
            f"POST /v1/responses HTTP/1.1\r\nHost: limits\r\n"
            f"Authorization: Bearer {self.token}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}"
        ).encode()

    def state_request(self, number):
        return (
            f"GET /v1/responses/{response_id(f'e{number}')} HTTP/1.1\r\n"
            f"Host: limits\r\nAuthorization: Bearer {self.token}\r\n\r\n"
        ).encode()

    async def ask_ordinary(self):
        status, body = await self.ask(self.head("level")("X-None: 1"))
        return status if status != 200 or body == b'{"left":3}' else "another body"
