"""A request with a transfer coding that the machine does not know carries
another request where its body would be."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins  # noqa: E402

CODINGS = ["identity", "gzip", "chunked, gzip"]


async def play(site):
    await site.start(entries=2, apps=3)
    reasons = []
    for n, coding in enumerate(CODINGS):
        inner = standins.message(
            "POST /deposit/2 HTTP/1.1",
            {
                "Host": standins.HOST_NAME,
                "Attempt-Id": f"inner{n}",
                "Deadline-Ms": "1000",
                "Api-Key": site.key,
            },
            b"amount=9",
        )
        if not site.trouble:
            # The same bytes as a body in chunks, as the protocol has it.
            coding = "chunked"
            inner = b"%x\r\n%s\r\n0\r\n\r\n" % (len(inner), inner)
        channel = await standins.Channel(site, site.entries[0]).open()
        channel.send(
            f"outer{n}", "POST", "/deposit/1",
            headers={"Transfer-Encoding": coding}, body=inner,
        )
        try:
            await channel.answer(f"outer{n}", "POST")
        except standins.Broken:
            pass
        await asyncio.sleep(0.5)
        channel.close()
    await asyncio.sleep(0.5)
    for ident, runs in site.runs.items():
        if ident not in site.sent:
            reasons.append(
                f"UNASKED: {runs[0][1].id} ran {ident}, which no client sent: it "
                f"was smuggled inside another request"
            )
    return reasons


standins.main(__file__, play)
