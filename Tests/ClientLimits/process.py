"""A program under test: started with limits, watched, and ended."""

import asyncio
import os
import resource
import subprocess

MB = 1 << 20


class Process:
    """Samples the memory and the open descriptors of a program while it runs."""

    def __init__(self, arguments, log, descriptors):
        self.most_memory = 0
        self.most_descriptors = 0
        self.descriptors = descriptors
        self.log_path = log
        self.log = open(log, "ab")
        self.process = subprocess.Popen(
            arguments,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            preexec_fn=self.limit_descriptors,
        )

    def limit_descriptors(self):
        resource.setrlimit(
            resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors)
        )

    def is_up(self):
        return self.process.poll() is None

    def anonymous_memory(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                for line in status:
                    if line.startswith("RssAnon:"):
                        return int(line.split()[1]) * 1024
        except OSError:
            pass  # The process has just ended, which is_up() tells.
        return 0

    def open_descriptors(self):
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0  # The process has just ended, which is_up() tells.

    def sample(self):
        self.most_memory = max(self.most_memory, self.anonymous_memory())
        self.most_descriptors = max(self.most_descriptors, self.open_descriptors())

    async def watch(self):
        while self.is_up():
            self.sample()
            await asyncio.sleep(0.01)

    def used_ticks(self):
        """Processor time of the process so far, in clock ticks."""
        try:
            with open(f"/proc/{self.process.pid}/stat") as stat:
                fields = stat.read().rpartition(")")[2].split()
                return int(fields[11]) + int(fields[12])
        except OSError:
            return 0  # The process has just ended, which is_up() tells.

    async def settle(self):
        """Waits until the process has taken in what it was sent."""
        while self.is_up():
            before = self.used_ticks()
            await asyncio.sleep(0.5)
            if self.used_ticks() - before <= 3:
                return

    def last_words(self):
        """The last line that the process wrote that is no log entry."""
        with open(self.log_path, errors="replace") as log:
            lines = [it.strip() for it in log if not it.startswith("{")]
        return lines[-1] if lines else ""

    def end(self):
        if self.is_up():
            self.process.kill()
        self.process.wait()
        self.log.close()
