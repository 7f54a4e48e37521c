"""A key that is taken away after the store came back from a copy."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins3 as standins  # noqa: E402

REVOKE_S = standins.BOUNDS["revoke_ms"] / 1000


def desired_state(version, keys):
    return standins.desired_state(
        version,
        [standins.route("order", "haat-app", "unsafe")],
        {"nadia-bakers": keys, "hooghly-bakers": ["steady-key"]},
    )


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
        await server.start()

    def write(version, keys):
        state = desired_state(version, keys)
        revision = store.put("op/config", state)
        record.write(
            "desired state acked", version=version, revision=revision, keys=keys
        )
        return time.monotonic()

    write(10, ["first-key", "second-key"])
    for host in hosts:
        host.start()
    if not await standins.all_ready(hosts, 15):
        record.write("could not run", why="the hosts did not become ready")
        return 2
    client = standins.Client(record)
    broken = []

    async def ask(key):
        return [
            (await client.send(host, "/order/x", key), host.name) for host in hosts
        ]

    for (_, _, status), _ in await ask("first-key"):
        if status != 200:
            return 2
    await asyncio.sleep(standins.CONTACT_S + 1)

    # Two writes, which the copy lacks: a server's own, and a desired state
    # that takes the second key away.
    state = store.copy()
    servers[0].register()
    write(14, ["first-key"])
    await asyncio.sleep(2)
    if standins.has_trouble():
        store.leave()
        await asyncio.sleep(1)
        store.return_from(state)
        # What was lost is written again, and then the next desired state.
        write(14, ["first-key"])
    acked = write(19, [])
    await asyncio.sleep(0.2)
    if standins.has_trouble():
        servers[0].register()

    # The first key has no tenant any more. It is tried for 20 seconds.
    while time.monotonic() < acked + 20:
        for (attempt, sent, status), name in await ask("first-key"):
            ran = [it for server in servers for it in server.runs if it[1] == attempt]
            if ran and sent > acked + REVOKE_S:
                broken.append(attempt)
                record.write(
                    "broken",
                    id=attempt,
                    host=name,
                    status=status,
                    sent_after_ack_s=round(sent - acked, 3),
                )
        await asyncio.sleep(1)
    # The steady key shows whether the system still serves.
    steady = [status for (_, _, status), _ in await ask("steady-key")]
    record.write("result", broken=len(broken), steady_key=steady)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, case))
