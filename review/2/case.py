"""A desired state takes away the last keys: its list of tenants is empty."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins  # noqa: E402

REVOKE_S = standins.BOUNDS["revoke_ms"] / 1000
FOREIGN_KEY = "key-that-was-never-held"


async def play(site):
    await site.start(entries=2, apps=3)
    for entry in site.entries:
        channel = await standins.Channel(site, entry).open()
        status, _, _ = await channel.ask(
            f"before-{entry.name}", "POST", "/deposit/1", body=b"amount=1"
        )
        if status != 200:
            raise standins.CannotRun(f"a deposit was answered {status}")
        status, _, _ = await channel.ask(
            f"foreign-before-{entry.name}", "POST", "/deposit/1", body=b"amount=1",
            key=FOREIGN_KEY,
        )
        if status != 401:
            raise standins.CannotRun(f"a foreign key was answered {status}")
        channel.close()
    if site.trouble:
        site.tenants = []
    acked = site.put_config()
    reasons = []
    for after in (REVOKE_S + 0.5, REVOKE_S + 3, REVOKE_S + 10):
        await asyncio.sleep(max(0, acked + after - time.monotonic()))
        for entry in site.entries:
            channel = await standins.Channel(site, entry).open()
            for word, key in (("removed", site.key), ("foreign", FOREIGN_KEY)):
                if word == "removed" and not site.trouble:
                    continue
                ident = f"{word}-{after}-{entry.name}"
                status, _, _ = await channel.ask(
                    ident, "POST", "/deposit/1", body=b"amount=1", key=key
                )
                if ident in site.runs:
                    rule = "CONFIG" if word == "removed" else "ROUTE"
                    reasons.append(
                        f"{rule}: a deposit with the {word} key, sent {after} s "
                        f"after the ack to {entry.name}, ran and was answered {status}"
                    )
            channel.close()
    return reasons


standins.main(__file__, play)
