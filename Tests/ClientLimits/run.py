#!/usr/bin/python3
"""Runs clients that don't behave against real processes, one test at a time.

Checks that the process lives, that its memory and its open descriptors stay
under their bounds, and that one ordinary request is answered while the clients
are still connected. Exit status: 0 when all hold, 1 when one does not, 2 for a
wrong command line.
"""

import argparse
import asyncio
import collections
import pathlib
import sys
import tempfile

import crowd
from entry_site import EntrySite
from process import MB
from program_site import DESCRIPTORS, LARGE_ANSWER, MAX_BODY, MAX_HEADER
from router_site import RouterSite

SITES = {"Entry": EntrySite, "Router": RouterSite}
BODIES = 40
HEADS = 500
ENDLESS = 8
ENDLESS_BYTES = 24 * MB
READERS = 30
CONNECTIONS = 300
FEW_DESCRIPTORS = 200
# The rest stays free for connections to targets.
BOUND_OF_FEW = 180
# Ends a test that hangs; no check depends on its length.
HANG_S = 300
FIRST_NET = 60

Test = collections.namedtuple("Test", "kind name net")


async def send_all(site, count, make_message):
    """Sends the messages of a crowd side by side; returns its clients."""
    clients = []
    sends = []
    for n in range(count):
        message = make_message(site.crowd_head(n))
        completes = n % crowd.COMPLETE_EVERY == crowd.COMPLETE_EVERY - 1
        client = crowd.Client(site.address, site.port, completes)
        clients.append(client)
        sends.append(client.send(message.parts, message.last))
    await asyncio.gather(*sends)
    return clients


async def whole_bodies(site):
    return await send_all(site, BODIES, lambda it: crowd.sized_body(it, MAX_BODY, 1))


async def bodies_in_pieces(site):
    return await send_all(site, BODIES, lambda it: crowd.sized_body(it, MAX_BODY, 256))


async def large_chunks(site):
    return await send_all(site, BODIES, lambda it: crowd.chunked_body(it, MAX_BODY, MB))


async def small_chunks(site):
    return await send_all(site, BODIES, lambda it: crowd.chunked_body(it, MAX_BODY, 16))


async def trailers(site):
    return await send_all(
        site, ENDLESS, lambda it: crowd.endless_trailer(it, ENDLESS_BYTES)
    )


async def extension(site):
    return await send_all(
        site, ENDLESS, lambda it: crowd.endless_extension(it, ENDLESS_BYTES)
    )


async def extended(site):
    return await send_all(
        site, ENDLESS, lambda it: crowd.extended_chunks(it, ENDLESS_BYTES, 200)
    )


async def chunk_size(site):
    return await send_all(
        site, ENDLESS, lambda it: crowd.endless_size(it, ENDLESS_BYTES)
    )


async def heads(site):
    size = MAX_HEADER - 4
    return await send_all(site, HEADS, lambda it: crowd.large_head(it, size))


async def slow_readers(site):
    """Clients that ask for large answers and read next to nothing of them. One
    after the other: the answers would share the limit of those that arrive."""
    clients = []
    for n in range(READERS):
        client = crowd.Client(site.address, site.port, False, receive_buffer=4096)
        await client.send([site.large_request(n)], b"")
        await client.begin_to_read()
        clients.append(client)
    return clients


async def connections(site):
    return await send_all(
        site, CONNECTIONS, lambda it: crowd.large_head(it, len(it("X: ")) + 50)
    )


async def endless_events(site):
    """Clients of an engine that does not end the first event of its streams."""
    return await ask_all(site, BODIES, site.stream_request)


async def endless_replies(site):
    """Clients of an engine that does not end its replies."""
    return await ask_all(site, BODIES, site.state_request)


async def ask_all(site, count, make_request):
    clients = [crowd.Client(site.address, site.port, False) for _ in range(count)]
    await asyncio.gather(
        *(it.send([make_request(n)], b"") for n, it in enumerate(clients))
    )
    return clients


CROWDS = {
    "WholeBodies": whole_bodies,
    "BodiesInPieces": bodies_in_pieces,
    "LargeChunks": large_chunks,
    "SmallChunks": small_chunks,
    "Trailers": trailers,
    "Extension": extension,
    "ExtendedChunks": extended,
    "ChunkSize": chunk_size,
    "Heads": heads,
    "SlowReaders": slow_readers,
    "Connections": connections,
}


# What targets of the router send; tests of the entry process are in Tests/Entry.
ROUTER_CROWDS = {
    "EndlessEvents": endless_events,
    "EndlessReplies": endless_replies,
}


async def judge_crowd(site, make_crowd):
    clients = await make_crowd(site)
    await site.process.settle()
    status = await site.ask_ordinary()
    site.process.sample()
    problems = list(site.findings)
    if not site.process.is_up():
        code = site.process.process.returncode
        problems.append(f"the process ended with {code}: {site.process.last_words()}")
    if site.process.most_memory > site.memory_mb * MB:
        problems.append(
            f"memory {site.process.most_memory / MB:.0f} MB of {site.memory_mb} MB"
        )
    bound = BOUND_OF_FEW if site.descriptors == FEW_DESCRIPTORS else DESCRIPTORS - 1
    if site.process.most_descriptors > bound:
        problems.append(
            f"{site.process.most_descriptors} open descriptors of {bound}"
        )
    if status != 200:
        problems.append(f"an ordinary request got {status}")
    for client in clients:
        client.close()
    return problems


async def judge_calm(site):
    """Single requests inside the limits, one after the other."""
    head = site.crowd_head(0)
    messages = {
        "a body with a length": crowd.sized_body(head, MAX_BODY, 1),
        "large chunks": crowd.chunked_body(head, MAX_BODY, MB),
        "small chunks": crowd.chunked_body(head, MAX_BODY, 16),
        "a trailer": crowd.chunked_body(head, MAX_BODY, 65536, b"X-Sum: 1\r\n"),
    }
    problems = []
    for name, message in messages.items():
        status = await site.ask_with(message)
        if status != 200:
            problems.append(f"{name}: {status}")
    status, body = await site.ask(site.large_request(0))
    if status != 200 or len(body) != LARGE_ANSWER:
        problems.append(f"a large answer: {status}, {len(body)} bytes")
    if not site.process.is_up():
        problems.append("the process ended")
    return problems


async def run_test(test, folder, programs):
    few = test.name == "Connections"
    descriptors = FEW_DESCRIPTORS if few else DESCRIPTORS
    site = SITES[test.kind](folder, programs, test.net, descriptors)
    try:
        async with asyncio.timeout(HANG_S):
            await site.start()
            if test.name == "Calm":
                return await judge_calm(site), site
            return await judge_crowd(site, (CROWDS | ROUTER_CROWDS)[test.name]), site
    except TimeoutError:
        return ["the test hangs"], site
    finally:
        site.end()


def main():
    pairs = [(kind, name) for kind in SITES for name in ["Calm", *CROWDS]]
    pairs += [("Router", name) for name in ROUTER_CROWDS]
    # Each test has a network of its own.
    tests = [Test(*pair, FIRST_NET + n) for n, pair in enumerate(pairs)]
    names = {f"ClientLimits{it.kind}{it.name}": it for it in tests}
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("test", nargs="*", help="names of tests; all without them")
    parser.add_argument("--except", dest="excluded", default="", help="names, by commas")
    parser.add_argument(
        "--programs", type=pathlib.Path, default="build/bin", help="their folder"
    )
    parser.add_argument("--keep", help="folder for logs")
    args = parser.parse_args()
    chosen = args.test or list(names)
    unknown = [it for it in chosen if it not in names]
    if unknown:
        parser.error(f"no such test: {', '.join(unknown)}")
    failed = 0
    for test in chosen:
        if test in args.excluded.split(","):
            continue
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(args.keep or temporary) / test
            folder.mkdir(parents=True, exist_ok=True)
            problems, site = asyncio.run(run_test(names[test], folder, args.programs))
        failed += bool(problems)
        peak = f"{site.process.most_memory / MB:.0f} MB" if site.process else "none"
        most = site.process.most_descriptors if site.process else 0
        verdict = "; ".join(problems) or "held"
        print(f"{test}: {verdict} (most memory {peak}, descriptors {most})", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
