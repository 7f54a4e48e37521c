"""HTTP/1.1 over asyncio streams, as far as the soak needs it."""

import asyncio
import json


class Broken(Exception):
    """The other side closed the connection, or sent what is no message."""


async def read_head(reader):
    """Returns the first line and the headers, whose names are lower case."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as ec:
        raise Broken(str(ec)) from ec
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    """Returns the next chunk; empty at the end."""
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
    except (asyncio.IncompleteReadError, OSError, ValueError) as ec:
        raise Broken(str(ec)) from ec
    return data[:-2]


async def read_body(reader, headers):
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    try:
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError) as ec:
        raise Broken(str(ec)) from ec


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    if "Transfer-Encoding" not in headers:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_answer(status, value, headers=None):
    return message(
        f"HTTP/1.1 {status} X",
        {"Content-Type": "application/json", **(headers or {})},
        json.dumps(value).encode(),
    )


def close(writer, reset=False):
    """Closes at once, with a reset when asked."""
    try:
        if reset:
            writer.transport.abort()
        else:
            writer.close()
    except (OSError, RuntimeError):
        pass  # It was closed before.


async def drain(writer):
    try:
        await writer.drain()
    except (OSError, RuntimeError) as ec:
        raise Broken(str(ec)) from ec
