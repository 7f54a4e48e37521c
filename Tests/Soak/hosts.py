"""Entry hosts of the soak: real processes, steered by signals."""

import asyncio
import signal
import subprocess

import wire

SETTINGS = """\
host: {name}
failure_domain: {zone}
link_mbps: 1000
listen:
  address: {address}
  callers: {address}:9100
  ready: {address}:9101
  peer_port: 9102
  metrics_port: 9103
store:
  endpoint: {store}:9000
bounds:
  key_removal_ms: 5000
  table_change_ms: 2000
  drain_ms: 2000
  shutdown_grace_s: {grace}
"""
GRACE_S = 4


class Host:
    def __init__(self, world, name, zone, address, store):
        self.world = world
        self.name = name
        self.address = address
        self.config = world.folder / f"{name}.yaml"
        self.log = open(world.folder / f"{name}.log", "ab")
        self.config.write_text(
            SETTINGS.format(
                name=name, zone=zone, address=address, store=store, grace=GRACE_S
            )
        )
        self.process = None
        self.ready = False
        self.expected_end = False
        # Ends and starts of one host follow each other; pauses and changes of
        # its settings overlap with them.
        self.ending = asyncio.Lock()
        self.paused_s = 0.0

    def start(self):
        self.expected_end = False
        self.process = subprocess.Popen(
            [self.world.program, "--config", str(self.config)],
            stdout=self.log,
            stderr=self.log,
        )

    def is_up(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.is_up():
            self.process.send_signal(number)

    async def kill(self, down):
        async with self.ending:
            self.expected_end = True
            self.send(signal.SIGKILL)
            await asyncio.sleep(down)
            self.start_again()

    async def stop_and_start(self, down):
        async with self.ending:
            self.expected_end = True
            paused = self.paused_s
            self.send(signal.SIGTERM)
            await asyncio.sleep(GRACE_S)
            if self.is_up():
                if self.world.timed and self.paused_s == paused:
                    self.world.finding(f"{self.name} still runs after its grace")
                self.send(signal.SIGKILL)
            await asyncio.sleep(down)
            self.start_again()

    def start_again(self):
        self.process.wait()
        if not self.world.over:
            self.start()

    async def pause(self, seconds):
        self.paused_s += seconds
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send(signal.SIGCONT)

    async def reload(self, _):
        self.send(signal.SIGHUP)

    def check_alive(self):
        if self.expected_end or self.is_up():
            return
        self.world.finding(
            f"{self.name} ended by itself with {self.process.returncode}"
        )
        self.start_again()

    async def ask_ready(self):
        """Keeps self.ready current, as the platform's balancer does."""
        while not self.world.over:
            try:
                async with asyncio.timeout(0.5):
                    reader, writer = await asyncio.open_connection(self.address, 9101)
                    writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    first, _ = await wire.read_head(reader)
                    self.ready = " 200 " in first
                    wire.close(writer)
            except (OSError, wire.Broken, TimeoutError):
                self.ready = False
            await asyncio.sleep(0.3)

    def end(self):
        if self.is_up():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.log.close()
