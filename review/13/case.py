"""A server that leaves after the store came back from a copy."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins3 as standins  # noqa: E402

DRAIN_S = standins.BOUNDS["drain_ms"] / 1000
# A server that leaves serves on for drain_ms and this much longer.
LINGER_S = 1.5
# Longest work of an order.
WORK_S = 0.45


async def case(net, record, hosts):
    store = standins.Store(record)
    await store.listen(f"{net}.1")
    servers = [
        standins.Server(
            store, record, f"i-{n}", "haat-app", f"{net}.{20 + n}", standins.ZONES[n]
        )
        for n in range(3)
    ]
    for server in servers:
        server.work_s = WORK_S
        await server.start()
    leaving, other = servers[0], servers[1]

    def write(version):
        state = standins.desired_state(
            version,
            [standins.route("order", "haat-app", "unsafe")],
            {"nadia-bakers": ["steady-key"]},
        )
        revision = store.put("op/config", state)
        record.write("desired state acked", version=version, revision=revision)

    write(10)
    for host in hosts:
        host.start()
    if not await standins.all_ready(hosts, 15):
        record.write("could not run", why="the hosts did not become ready")
        return 2
    client = standins.Client(record)

    async def ask(seconds):
        """Three orders at each host at a time, one round a half second."""
        results = []
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            results += await asyncio.gather(
                *[client.send(host, "/order/x", "steady-key") for host in hosts * 3]
            )
            await asyncio.sleep(0.5)
        return results

    if any(status != 200 for _, _, status in await ask(1)):
        return 2
    await asyncio.sleep(standins.CONTACT_S + 1)

    # The copy lacks a desired state and what a server that was cold wrote of
    # itself.
    state = store.copy()
    write(12)
    for other.cold_ms in (900, 500, 0):
        other.register()
        await asyncio.sleep(0.5)
    if standins.has_trouble():
        store.leave()
        await asyncio.sleep(1)
        store.return_from(state)
        # Both write again what they hold now.
        write(12)
        other.register()
    # All machines are in touch again.
    await asyncio.sleep(standins.CONTACT_S + 2)

    # A server leaves, in a pause of the traffic.
    leaving.state = "draining"
    leaving.register()
    acked = time.monotonic()
    record.write("draining acked", server=leaving.id, revision=store.revision)

    async def end():
        await asyncio.sleep(DRAIN_S + LINGER_S)
        leaving.end()

    ending = asyncio.create_task(end())
    await asyncio.sleep(DRAIN_S + 0.3)
    sent = {attempt: at for attempt, at, _ in await ask(LINGER_S)}
    await ending
    late = [
        (attempt, at)
        for at, attempt in leaving.runs
        if sent.get(attempt, acked) > acked + DRAIN_S
    ]
    for attempt, at in late:
        record.write("broken", id=attempt, ran_after_ack_s=round(at - acked, 3))
    after = [status for _, _, status in await ask(1)]
    record.write("result", broken=len(late), statuses_at_the_end=after)
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, case))
