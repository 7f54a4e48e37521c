"""A stand-in of the platform's store that can be made to misbehave."""

import asyncio
import base64
import collections
import copy
import json
import time
import urllib.parse

import wire


# How far back the copies reach from which the store may come back.
COPIES_S = 8
WATCH_POLL_S = 0.005


class Store:
    """Keeps items and leases. Each host has an address of its own to reach it,
    so that faults can concern single hosts; "" stands for all of them. It may
    come back from a copy of itself, in the next era."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.leases = {}
        self.faults = {}
        self.servers = []
        self.era = 1
        self.events = []
        self.copies = collections.deque()

    async def listen(self, host, address, port):
        async def serve(reader, writer):
            await self.serve(host, reader, writer)

        self.servers.append(await asyncio.start_server(serve, address, port))

    def set_fault(self, host, fault):
        """fault: None, "busy", "reset", "silent", "slow" or "lost"."""
        if fault:
            self.faults[host] = fault
        else:
            self.faults.pop(host, None)

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
        self.events.append(self.items[key])
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.events.append(
                {"key": key, "revision": self.revision, "tombstone": True}
            )

    def keep_copy(self):
        now = time.monotonic()
        state = (self.revision, self.items, self.leases, self.events)
        self.copies.append((now, copy.deepcopy(state)))
        while self.copies[0][0] < now - COPIES_S:
            self.copies.popleft()

    def come_back(self, age):
        """Loses all that was written after the newest copy that has this age."""
        until = time.monotonic() - age
        fitting = [it for at, it in self.copies if at <= until]
        state = fitting[-1] if fitting else self.copies[0][1]
        self.revision, self.items, self.leases, self.events = copy.deepcopy(state)
        # Later copies are of what is lost now.
        self.copies.clear()
        self.era += 1
        self.keep_copy()

    def expire(self):
        now = time.monotonic()
        for lease in [it for it, end in self.leases.items() if end < now]:
            del self.leases[lease]
            for key in [k for k, it in self.items.items() if it["lease"] == lease]:
                self.remove(key)

    async def serve(self, host, reader, writer):
        try:
            while True:
                first, headers = await wire.read_head(reader)
                body = await wire.read_body(reader, headers)
                fault = self.faults.get(host) or self.faults.get("")
                if fault == "reset":
                    break
                if fault == "silent":
                    await asyncio.sleep(3600)
                if fault == "slow":
                    await asyncio.sleep(0.3)
                if fault == "busy":
                    headers = {"Store-Era": str(self.era)}
                    writer.write(wire.json_answer(503, {}, headers))
                    continue
                method, target, _ = first.split(" ", 2)
                # A call that waits may be answered in a later era than this.
                era = self.era
                answer = await self.call(method, target, json.loads(body or b"{}"))
                if fault == "lost" and method != "GET":
                    break
                writer.write(wire.json_answer(*answer, {"Store-Era": str(era)}))
                await wire.drain(writer)
        except (wire.Broken, ValueError, asyncio.CancelledError):
            pass  # The host closed the connection, or the soak ends.
        wire.close(writer, reset=True)

    async def watch(self, query):
        # Those that wait when the store comes back end with what it was.
        revision, events, era = self.revision, self.events, self.era
        after = int(query["after"])
        if after > revision:
            return 410, {}
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            found = [
                it
                for it in events
                if it["revision"] > after and it["key"].startswith(query["path_prefix"])
            ]
            if self.era == era:
                revision = self.revision
            if found or time.monotonic() >= until:
                return 200, {"events": found, "current_rev": revision}
            await asyncio.sleep(WATCH_POLL_S)

    async def call(self, method, target, body):
        self.expire()
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/-/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"current_rev": self.revision}
            return 200, {**item, "current_rev": self.revision}
        if url.path == "/-/kv-range":
            keys = sorted(
                it
                for it in self.items
                if it.startswith(query["path_prefix"]) and it > query.get("after", "")
            )
            page = keys[:50]
            return 200, {
                "items": [self.items[it] for it in page],
                "has_more": len(keys) > len(page),
                "current_rev": self.revision,
            }
        if url.path == "/-/kv-watch":
            return await self.watch(query)
        if url.path == "/-/kv-lease":
            lease = 1000 + len(self.leases) + self.revision
            self.leases[lease] = time.monotonic() + body["ttl_ms"] / 1000
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        if url.path.startswith("/-/kv-keep/"):
            known = int(url.path.rsplit("/", 1)[1]) in self.leases
            return (200 if known else 404), {}
        if url.path == "/-/kv-txn":
            for put in body.get("puts", []):
                if put.get("lease", 0) and put["lease"] not in self.leases:
                    return 404, {}
                self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
            return 200, {"revision": self.revision}
        return 404, {}
