"""Records what callers of a site observe, for ragwort-check-history."""

import json
import threading
import time


class History:
    """Observations in the order of their time; safe for several threads."""

    def __init__(self):
        self._lock = threading.Lock()
        self._start = time.monotonic()
        self._wall_start_us = time.time_ns() // 1000
        self.records = []

    def add(self, kind, host="", request="", generation="", n=0, text=""):
        with self._lock:
            self.records.append({
                "t_us": int((time.monotonic() - self._start) * 1e6),
                "type": kind, "host": host, "request": request,
                "generation": generation, "n": n, "text": text})

    def add_event(self, kind, event, host, request="", n=0):
        """Adds what a process recorded in the time line; its hybrid time has
        microseconds since 1970 in the upper 52 bits."""
        wall_us = int(event["time"]) >> 12
        with self._lock:
            self.records.append({
                "t_us": max(0, wall_us - self._wall_start_us), "type": kind,
                "host": host, "request": request, "generation": "", "n": n,
                "text": ""})

    def write(self, path):
        with self._lock, open(path, "w", encoding="utf-8") as file:
            for record in sorted(self.records, key=lambda one: one["t_us"]):
                file.write(json.dumps(record) + "\n")

    def count(self, *kinds):
        with self._lock:
            return sum(1 for record in self.records
                       if record["type"] in kinds)
