"""A caller of the site that resumes its answer when a connection breaks."""

import http.client
import json
import threading
import time

# Ends a hang of one read; longer than any stall that a scenario makes.
READ_TIMEOUT_S = 60
RESUME_PAUSE_S = 0.1
MAX_CONNECTIONS = 200
# Events of the engine before the first token.
FIRST_TOKEN_EVENT = 4


class Stream(threading.Thread):
    """One streamed answer, recorded in a history."""

    def __init__(self, site, history, name, team, kind, tokens, hosts,
                 endpoint=None, model="drafts"):
        super().__init__(daemon=True)
        self.site, self.history, self.request = site, history, name
        self.team, self.kind, self.tokens = team, kind, tokens
        self.hosts, self.model = hosts, model
        self.endpoint = endpoint or site.router_address
        self.response, self.sequence = None, -1
        self.ended = False

    def run(self):
        self.history.add("request_sent", request=self.request,
                         text=self.request)
        for attempt in range(MAX_CONNECTIONS):
            host = self.hosts[attempt % len(self.hosts)]
            try:
                self.connect(host)
            except (OSError, http.client.HTTPException, ValueError):
                pass
            if self.ended:
                return
            time.sleep(RESUME_PAUSE_S)

    def connect(self, host):
        """Sends the request, or resumes its answer, through one host."""
        link = http.client.HTTPConnection(self.endpoint(host),
                                          timeout=READ_TIMEOUT_S)
        headers = {"Authorization": "Bearer " + self.site.token(self.team),
                   "Content-Type": "application/json"}
        try:
            if self.response:
                link.request("GET", f"/v1/responses/{self.response}"
                             f"?stream=true&starting_after={self.sequence}",
                             headers=headers)
            else:
                link.request("POST", "/v1/responses", json.dumps({
                    "model": self.model, "input": self.request, "stream": True,
                    "max_output_tokens": self.tokens,
                    "metadata": {"kind": self.kind,
                                 "prompt": self.request}}), headers)
            reply = link.getresponse()
            if reply.status != 200:
                self.refused(reply)
                return
            for line in reply:
                if line.startswith(b"data: {"):
                    self.take(json.loads(line[6:]))
        finally:
            link.close()

    def refused(self, reply):
        """A refusal ends the request unless the caller may repeat it."""
        text = reply.read().decode()
        verdict = reply.headers.get("X-Ragwort-Verdict", "")
        if reply.status in (429, 503):
            time.sleep(RESUME_PAUSE_S)
            return
        self.ended = True
        self.history.add("answer_failed", request=self.request,
                         text=f"{reply.status} {verdict} {text}")

    def take(self, event):
        """Records one event of the answer."""
        self.sequence = event["sequence_number"]
        kind = event["type"]
        if kind == "response.created":
            self.response = event["response"]["id"]
        elif kind == "response.output_text.delta":
            self.history.add("token_delivered", request=self.request,
                             generation=self.response,
                             n=self.sequence - FIRST_TOKEN_EVENT)
        elif kind == "response.completed":
            self.ended = True
            response = event["response"]
            self.history.add(
                "answer_completed", request=self.request,
                n=response["usage"]["output_tokens"],
                text=response["metadata"]["prompt"])
        elif kind in ("response.failed", "response.incomplete",
                      "response.cancelled", "error"):
            self.ended = True
            self.history.add("answer_failed", request=self.request,
                             text=json.dumps(event))
