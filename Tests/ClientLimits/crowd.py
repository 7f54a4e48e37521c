"""Clients that don't behave: many at once, most of which stop just short of the
end of what they send and stay connected."""

import asyncio
import socket

# Each fourth client sends its message to the end.
COMPLETE_EVERY = 4
# Far more than one read of the programs takes.
WRITE_BYTES = 65536


class Client:
    """Sends parts on one connection, as fast as they are taken. Each part but
    the last is sent; the last one only by a client that completes."""

    def __init__(self, address, port, completes, receive_buffer=0):
        self.address = address
        self.port = port
        self.completes = completes
        self.receive_buffer = receive_buffer
        self.reader = None
        self.writer = None

    async def connect(self):
        sock = socket.socket()
        sock.setblocking(False)
        if self.receive_buffer:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer
            )
        await asyncio.get_running_loop().sock_connect(sock, (self.address, self.port))
        self.reader, self.writer = await asyncio.open_connection(
            sock=sock, limit=4096
        )

    async def send(self, parts, last):
        try:
            await self.connect()
            for part in parts:
                for at in range(0, len(part), WRITE_BYTES):
                    self.writer.write(part[at : at + WRITE_BYTES])
                    await self.writer.drain()
                # Lets the other clients of the crowd take their turns.
                await asyncio.sleep(0)
            if self.completes:
                self.writer.write(last)
                await self.writer.drain()
        except OSError:
            pass  # Refused or closed, as is allowed.

    async def begin_to_read(self):
        """Reads the first byte of an answer and no more."""
        try:
            await self.reader.read(1)
        except (AttributeError, OSError):
            pass  # Refused or closed, as is allowed.

    def close(self):
        if self.writer:
            self.writer.transport.abort()


def chunk(data, extension=b""):
    return b"%x%s\r\n%s\r\n" % (len(data), extension, data)


END = b"0\r\n\r\n"


class Message:
    """What a client of a crowd sends: parts, and the last bytes, which most
    clients keep back."""

    def __init__(self, parts, last):
        self.parts = parts
        self.last = last

    def whole(self):
        return b"".join(self.parts) + self.last


def sized_body(head, size, pieces):
    """A body with a length, sent in a number of pieces."""
    piece = b"b" * (size // pieces)
    parts = [head(f"Content-Length: {size}")] + [piece] * pieces
    parts[-1] = parts[-1][:-1]
    return Message(parts, b"b")


def chunked_body(head, size, chunk_size, trailer=b""):
    """A body in chunks. Small chunks are sent many at a time."""
    chunks = size // chunk_size
    at_once = max(1, WRITE_BYTES // chunk_size)
    one = chunk(b"b" * chunk_size)
    parts = [head("Transfer-Encoding: chunked")]
    parts += [one * at_once] * (chunks // at_once)
    return Message(parts, b"0\r\n" + trailer + b"\r\n")


def endless_trailer(head, size):
    """Trailers that go on after the last chunk of a body."""
    line = b"X-Trailer: " + b"t" * 180 + b"\r\n"
    parts = [head("Transfer-Encoding: chunked") + chunk(b"b") + b"0\r\n"]
    parts += [line * 64] * (size // (64 * len(line)))
    return Message(parts, b"\r\n")


def endless_extension(head, size):
    """The extension of a chunk that goes on."""
    parts = [head("Transfer-Encoding: chunked") + b"1;e="]
    parts += [b"e" * WRITE_BYTES] * (size // WRITE_BYTES)
    return Message(parts, b"\r\nb\r\n" + END)


def extended_chunks(head, size, extension_size):
    """Chunks of one byte, each with an extension that is not long in itself."""
    one = chunk(b"b", b";e=" + b"e" * extension_size)
    at_once = max(1, WRITE_BYTES // len(one))
    parts = [head("Transfer-Encoding: chunked")]
    parts += [one * at_once] * (size // (at_once * len(one)))
    return Message(parts, END)


def endless_size(head, size):
    """The size of a chunk, with zeros that go on before it."""
    parts = [head("Transfer-Encoding: chunked")]
    parts += [b"0" * WRITE_BYTES] * (size // WRITE_BYTES)
    return Message(parts, b"1\r\nb\r\n" + END)


def large_head(head, size):
    """A head that is not complete until its last bytes."""
    start = head("X-Large: ")[:-4]
    return Message([start + b"h" * (size - len(start))], b"\r\n\r\n")
