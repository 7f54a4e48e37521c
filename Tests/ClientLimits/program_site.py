"""What the sites of the programs under test have in common."""

import asyncio
import subprocess

import wire
from process import MB, Process

DESCRIPTORS = 4096
MAX_BODY = 4 * MB
MAX_HEADER = 256 << 10
# So long that no test depends on them.
TIMEOUT_MS = 120000
LARGE_ANSWER = 6 * MB


class ProgramSite:
    """One process. Subclasses set its address and port, and make its settings
    and the requests that it takes."""

    address = ""
    port = 0

    def __init__(self, folder, program, memory_mb, descriptors):
        self.folder = folder
        self.program = str(program)
        self.memory_mb = memory_mb
        self.descriptors = descriptors
        self.process = None
        # What the stand-ins find.
        self.findings = []
        self.tasks = []

    def settings(self):
        raise NotImplementedError

    def write_settings(self):
        """Programs from before a setting was known are started without it."""
        path = self.folder / "settings.yaml"
        path.write_text(self.settings() + f"memory_mb: {self.memory_mb}\n")
        check = [self.program, "--config", str(path), "--check-config"]
        if subprocess.run(check, capture_output=True).returncode:
            path.write_text(self.settings())
        return path

    def start_process(self):
        self.process = Process(
            [self.program, "--config", str(self.write_settings())],
            self.folder / "process.log",
            self.descriptors,
        )
        self.tasks.append(asyncio.ensure_future(self.process.watch()))

    async def ask(self, request):
        """Sends a request; returns the status, or why there is none."""
        try:
            reader, writer = await asyncio.open_connection(self.address, self.port)
            writer.write(request)
            first, headers = await wire.read_head(reader)
            body = await wire.read_body(reader, headers)
            writer.close()
            return int(first.split()[1]), body
        except (OSError, wire.Broken) as ec:
            return f"no answer: {ec!r}", b""

    async def ask_with(self, message):
        status, _ = await self.ask(message.whole())
        return status

    def end(self):
        for task in self.tasks:
            task.cancel()
        if self.process:
            self.process.end()
