"""The checks of the soak find what they are meant to find."""

import asyncio
import collections
import time
import unittest

import callers
import soak
import targets


class FakeWorld:
    timed = True
    judge = soak.World.judge

    def __init__(self):
        self.ledger = targets.Ledger()
        self.findings = []
        self.refused = {}
        self.sent = {}
        self.keys = {"steady": None}
        self.counts = collections.Counter({"safe 200": 10})

    def finding(self, text):
        self.findings.append(text)

    def say(self, text):
        pass


class FakeHost:
    name = "host"


class Checks(unittest.TestCase):
    def setUp(self):
        self.world = FakeWorld()
        self.caller = callers.Caller(self.world, "c")
        self.caller.host = FakeHost()

    def answer(self, status, body="", kind="unsafe", **headers):
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        self.caller.check("c1", kind, status, named, body.encode(), True)

    def good(self):
        body = targets.plain_body("c1", "shop")
        return body, {"attempt_id": "c1", "response_seal": targets.seal(body)}

    def sent(self, kind, key="steady", at=0.0):
        self.world.sent["c1"] = (at, kind, key, FakeHost(), None)

    def test_a_whole_answer_is_no_finding(self):
        body, headers = self.good()
        self.answer(200, body, **headers)
        self.assertEqual([], self.world.findings)

    def test_wrong_bytes(self):
        body, headers = self.good()
        self.answer(200, body[:-1], **headers)
        self.assertEqual(1, len(self.world.findings))

    def test_an_answer_of_another_request(self):
        body = targets.plain_body("c2", "shop")
        self.answer(200, body, attempt_id="c2", response_seal=targets.seal(body))
        self.assertEqual(2, len(self.world.findings))

    def test_denied_though_the_key_always_stood(self):
        self.answer(401)
        self.assertEqual(1, len(self.world.findings))

    def test_refused_after_it_ran(self):
        self.world.ledger.ran("c1", None)
        self.answer(503)
        self.assertEqual(1, len(self.world.findings))

    def test_refused_and_ran_later(self):
        self.answer(503)
        self.sent("unsafe")
        self.world.ledger.ran("c1", None)
        self.world.judge()
        self.assertEqual(1, len(self.world.findings))

    def test_ran_twice(self):
        self.sent("long")
        self.world.ledger.ran("c1", None)
        self.world.ledger.ran("c1", None)
        self.world.judge()
        self.assertEqual(1, len(self.world.findings))

    def test_ran_without_being_sent(self):
        self.world.ledger.ran("other", None)
        self.world.judge()
        self.assertEqual(1, len(self.world.findings))

    def test_a_key_that_was_taken_away(self):
        now = time.monotonic()
        self.world.keys["old"] = now
        self.sent("safe", "old", now + soak.KEY_BOUND_S + 0.1)
        self.world.ledger.ran("c1", None)
        self.world.judge()
        self.assertEqual(1, len(self.world.findings))

    def stream(self, numbers, events):
        async def read():
            reader = asyncio.StreamReader()
            for number in numbers:
                data = targets.event("c1", number)
                reader.feed_data(b"%x\r\n%s\r\n" % (len(data), data))
            reader.feed_data(b"0\r\n\r\n")
            await self.caller.read_stream(reader, "c1", events)

        asyncio.run(read())
        return len(self.world.findings)

    def test_a_whole_stream_is_no_finding(self):
        self.assertEqual(0, self.stream([1, 2, 3], 3))

    def test_a_piece_twice(self):
        self.assertGreater(self.stream([1, 2, 2], 3), 0)

    def test_a_missing_piece(self):
        self.assertGreater(self.stream([1, 3], 3), 0)

    def test_complete_too_early(self):
        self.assertGreater(self.stream([1, 2], 3), 0)

    def test_a_connection_that_lost_bytes_ends(self):
        async def run():
            link = targets.Link(("127.0.0.1", 1))
            reader = asyncio.StreamReader()
            sink = FakeWriter()
            link.mode = "silent"
            reader.feed_data(b"first")
            pump = asyncio.create_task(link.pump(reader, sink, True))
            await asyncio.sleep(0.01)
            link.mode = "ok"
            reader.feed_data(b"second")
            await pump
            return sink

        sink = asyncio.run(run())
        self.assertEqual(b"", sink.data)
        self.assertTrue(sink.transport.aborted)


class FakeTransport:
    aborted = False

    def abort(self):
        self.aborted = True


class FakeWriter:
    def __init__(self):
        self.data = b""
        self.transport = FakeTransport()

    def write(self, data):
        self.data += data

    async def drain(self):
        pass

    def close(self):
        pass


if __name__ == "__main__":
    unittest.main()
