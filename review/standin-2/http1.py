"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review's scripts."""

import asyncio


class Message:
    """A request (first = [method, target, version]) or the head of a response (first = [version, status, reason])."""

    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return body


async def read_body(reader, message, to_end=False):
    if "chunked" in message.get("transfer-encoding", ""):
        return await read_chunks(reader)
    if message.get("content-length") is not None:
        return await reader.readexactly(int(message.get("content-length")))
    return await reader.read() if to_end else b""


async def respond(writer, status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    await writer.drain()


async def serve(host, port, handler):
    """Serves requests one after another on each connection; `handler(request, writer)` returns False to close it."""

    async def on_connection(reader, writer):
        try:
            while True:
                request = await read_head(reader)
                request.body = await read_body(reader, request)
                request.reader = reader
                if await handler(request, writer) is False:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port, limit=1 << 20)


async def call(address, method, target, headers=(), body=b"", timeout_s=5.0, source=None):
    """Sends one request over a new connection, from the address `source` if it is given. Returns (status, headers, body); the status is None without an answer."""
    host, port = address

    async def exchange():
        reader, writer = await asyncio.open_connection(
            host, port, limit=1 << 20, local_addr=source and (source, 0))
        try:
            lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            response = await read_head(reader)
            data = await read_body(reader, response, to_end=True)
            return int(response.first[1]), response.headers, data
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None, {}, b""
