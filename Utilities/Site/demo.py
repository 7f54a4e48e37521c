"""Serves requests through a small site of separate processes."""

import json
import signal
import sys

import site_processes as sites

TEAM = "nadia-bakers"


def stream(site, host, kind, prompt, tokens):
    """Streams one answer; returns (number of tokens, text)."""
    status, _, text = sites.http(
        "POST", f"http://{site.router_address(host)}/v1/responses",
        {"model": "drafts", "input": prompt, "stream": True,
         "max_output_tokens": tokens, "metadata": {"kind": kind}},
        {"Authorization": "Bearer " + site.token(TEAM)})
    if status != 200:
        raise sites.SiteError(f"{kind}: status {status}: {text}")
    events = [json.loads(line[6:]) for line in text.splitlines()
              if line.startswith("data: {")]
    numbers = [event["sequence_number"] for event in events]
    if numbers != list(range(numbers[0], numbers[0] + len(numbers))):
        raise sites.SiteError(f"{kind}: events are not in sequence")
    if events[-1]["type"] != "response.completed":
        raise sites.SiteError(f"{kind}: ended with {events[-1]['type']}")
    deltas = [event["delta"] for event in events
              if event["type"] == "response.output_text.delta"]
    return len(deltas), "".join(deltas)


def order(site, host, key):
    """Places an order; returns (status, verdict)."""
    status, headers, _ = sites.http(
        "POST",
        f"http://{site.router_address(host)}/v1/services/orders/flour-order",
        {"bags": 2},
        {"Authorization": "Bearer " + site.token(TEAM),
         "Idempotency-Key": key})
    return status, headers.get("X-Ragwort-Verdict")


def serve(site):
    first, second = site.entry_hosts[0], site.entry_hosts[1]
    count, text = stream(site, first, "guide", "baking day guide", 200)
    print(f"long answer:  {count} tokens, in order, once: {text[:40]}...")
    count, text = stream(site, second, "check", "is the dough ready?", 4)
    print(f"short answer: {count} tokens: {text}")
    for host in (first, second):
        status, verdict = order(site, host, "order-1")
        print(f"flour order 'order-1' through {host}: status {status}, "
              f"verdict {verdict}")
    runs = json.loads(sites.http(
        "GET", f"http://{site.target_address('service-1')}/runs")[2])["runs"]
    print(f"the service ran 'order-1' {runs.get('order-1', 0)} time(s)")
    return runs.get("order-1", 0)


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    site = sites.Site(engine={"token_interval_us": 5000})
    problems = []
    runs = 0
    try:
        site.build_all()
        site.start()
        print(f"{len(site.processes)} processes are running; settings and "
              f"logs are in {site.folder}")
        runs = serve(site)
    except sites.SiteError as error:
        problems.append(str(error))
    finally:
        problems += site.stop()
    for problem in problems:
        print(f"demo: {problem}", file=sys.stderr)
    if not problems:
        print("all processes stopped gracefully")
    return 0 if not problems and runs == 1 else 1


if __name__ == "__main__":
    sys.exit(main())
