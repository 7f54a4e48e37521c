"""A route that is dropped after the store came back from a copy."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins3 as standins  # noqa: E402

APPLY_S = standins.BOUNDS["config_apply_ms"] / 1000


def desired_state(version, has_old_route, look_service="haat-app"):
    routes = [
        standins.route("order", "haat-app", "unsafe"),
        standins.route("look", look_service, "safe", public=True),
        standins.route("spare", "haat-two", "safe", public=True),
    ]
    if has_old_route:
        routes.append(standins.route("old", "haat-app", "safe", public=True))
    return standins.desired_state(version, routes, {"nadia-bakers": ["steady-key"]})


async def case(net, record, hosts):
    store = standins.Store(record)
    await store.listen(f"{net}.1")
    servers = [
        standins.Server(
            store, record, f"i-{n}", service, f"{net}.{20 + n}", standins.ZONES[n % 3]
        )
        for n, service in enumerate(["haat-app", "haat-app", "haat-two"])
    ]
    for server in servers:
        await server.start()

    def write(version, *what):
        revision = store.put("op/config", desired_state(version, *what))
        record.write("desired state acked", version=version, revision=revision)
        return time.monotonic()

    write(10, True)
    for host in hosts:
        host.start()
    if not await standins.all_ready(hosts, 15):
        record.write("could not run", why="the hosts did not become ready")
        return 2
    client = standins.Client(record)

    def services_of(attempt):
        return [
            server.service
            for server in servers
            for _, it in server.runs
            if it == attempt
        ]

    async def ask(path, key=None):
        """Sends one request to each host: (host, sent, status, services)."""
        results = []
        for host in hosts:
            attempt, sent, status = await client.send(host, path, key, method="GET")
            results.append((host.name, sent, status, services_of(attempt)))
        return results

    for path in ("/old/x", "/look/x"):
        if any(status != 200 for _, _, status, _ in await ask(path)):
            return 2
    await asyncio.sleep(standins.CONTACT_S + 1)

    # Three desired states follow each other; the copy lacks them.
    state = store.copy()
    for version in (11, 13, 14):
        write(version, True)
        await asyncio.sleep(0.5)
    if standins.has_trouble():
        store.leave()
        await asyncio.sleep(1)
        store.return_from(state)
        # The operator writes its newest desired state again.
        write(14, True)
    # All machines are in touch again.
    await asyncio.sleep(standins.CONTACT_S + 2)

    # The next one drops a route, and moves another one to another service.
    acked = write(19, False, "haat-two")
    broken = 0
    steady = []
    while time.monotonic() < acked + 20:
        for path, may_run in (("/old/x", []), ("/look/x", ["haat-two"])):
            for name, sent, status, services in await ask(path):
                if sent > acked + APPLY_S and set(services) - set(may_run):
                    broken += 1
                    record.write(
                        "broken",
                        host=name,
                        path=path,
                        status=status,
                        ran_at=services,
                        sent_after_ack_s=round(sent - acked, 3),
                    )
        steady.append([status for _, _, status, _ in await ask("/order/x", "steady-key")])
        await asyncio.sleep(1)
    record.write("result", broken=broken, keyed_requests=steady)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, case))
