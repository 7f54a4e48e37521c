"""Utilities/losses names the cause of each lost request."""

import json
import os
import subprocess
import unittest

TOOL = os.path.join(os.path.dirname(__file__), "..", "..", "Utilities", "losses")


def line(event, at_ms=0, **fields):
    return json.dumps({"at_us": at_ms * 1000, "event": event, **fields})


def request(outcome, status, at_ms=1000, **fields):
    return line("request", at_ms, id="r1", outcome=outcome, status=status,
                **{"kind": "stream", "output_bound": 900, "target": "e1",
                   "reason": "e1: end of stream", "sends": 1, **fields})


class Losses(unittest.TestCase):
    def run_tool(self, *lines, prefix=" 1.25 host-1 "):
        text = "".join(prefix + one + "\n" for one in lines)
        return subprocess.run([TOOL], input=text, text=True, capture_output=True,
                              check=False)

    def cause(self, *lines):
        result = self.run_tool(*lines)
        self.assertEqual(0, result.returncode, result.stderr)
        rows = [row for row in result.stdout.splitlines() if "%" in row]
        self.assertEqual(1, len(rows), result.stdout)
        return rows[0].split("%  ")[1]

    def test_a_served_request_is_no_loss(self):
        result = self.run_tool(request("streamed", 200))
        self.assertNotIn("%", result.stdout)
        self.assertIn("stream, up to 1024 tokens: 1", result.stdout)

    def test_a_stream_on_an_engine_that_left(self):
        leaving = line("targets_changed", 100, leaving=["e1"])
        self.assertEqual(
            "engine left: no copy begun",
            self.cause(leaving, request("stream_broken", 200)))
        self.assertEqual(
            "engine left: move_not_planned",
            self.cause(leaving, line("move_not_planned", 150, id="r1"),
                       request("stream_broken", 200)))
        self.assertEqual(
            "engine left: last copy, status 503",
            self.cause(leaving,
                       line("move_call", 150, id="r1", last=True, status=503),
                       request("stream_broken", 200)))

    def test_a_stream_on_an_engine_that_failed(self):
        long_ago = line("targets_changed", 100, leaving=["e1"])
        self.assertEqual(
            "engine failed: end of stream",
            self.cause(long_ago, request("stream_broken", 200, at_ms=9000)))

    def test_refusals_and_answers_of_servers(self):
        self.assertEqual(
            "refused: no engine has room",
            self.cause(request("refused", 503, reason="no engine has room")))
        self.assertEqual(
            "server answered 500 after 2 sends",
            self.cause(request("answered", 500, kind="safe", sends=2)))
        self.assertEqual(
            "no answer in time after 1 sends",
            self.cause(request("failed", 504, kind="unsafe")))

    def test_bad_input(self):
        result = self.run_tool('{"event": 1', "{]", '"text"', prefix="")
        self.assertEqual(1, result.returncode)
        self.assertIn("no log line of a request", result.stderr)
        missing = subprocess.run([TOOL, "/nowhere"], capture_output=True,
                                 text=True, check=False)
        self.assertEqual(1, missing.returncode)
        self.assertIn("/nowhere", missing.stderr)


if __name__ == "__main__":
    unittest.main()
