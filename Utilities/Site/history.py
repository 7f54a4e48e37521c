"""Records what callers of a site observe, for ragwort-check-history."""

import json
import threading
import time


class History:
    """Observations in the order of their time; safe for several threads."""

    def __init__(self):
        self._lock = threading.Lock()
        self._start = time.monotonic()
        self.records = []

    def add(self, kind, host="", request="", generation="", n=0, text=""):
        with self._lock:
            self.records.append({
                "t_us": int((time.monotonic() - self._start) * 1e6),
                "type": kind, "host": host, "request": request,
                "generation": generation, "n": n, "text": text})

    def write(self, path):
        with self._lock, open(path, "w", encoding="utf-8") as file:
            for record in self.records:
                file.write(json.dumps(record) + "\n")

    def count(self, kind):
        with self._lock:
            return sum(1 for record in self.records if record["type"] == kind)
