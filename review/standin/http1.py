"""A small HTTP/1.1 server and client on asyncio streams, enough for the stand-ins of the review."""

import asyncio
import json


class Request:
    """One request that a server has read completely."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body


async def read_head(reader):
    """Reads a start line and headers; `None` if the connection ended before them."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while True:
        row = (await reader.readline()).decode("latin-1").strip()
        if not row:
            return line.decode("latin-1").strip(), headers
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_chunk(reader):
    """Reads one chunk of a chunked body; empty at its end."""
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader, headers):
    """Reads a body with a stated length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def head(status, headers):
    """Encodes the head of a response."""
    rows = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(rows) + "\r\n\r\n").encode()


def respond(writer, status, body=b"", headers=None):
    """Writes a whole response; a body that is no bytes is sent as JSON."""
    fields = dict(headers or {})
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
        fields["Content-Type"] = "application/json"
    fields["Content-Length"] = len(body)
    writer.write(head(status, fields) + body)


async def serve(handler, port=0, host="127.0.0.1"):
    """Serves `handler(request, writer)` on kept connections; returns the server and its port."""

    async def on_connection(reader, writer):
        try:
            while (first := await read_head(reader)) is not None:
                line, headers = first
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                if await handler(Request(method, target, headers, body), writer) is False:
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, host, port, limit=1 << 24)
    return server, server.sockets[0].getsockname()[1]


async def call(address, method, target, headers=None, body=b"", timeout=10.0):
    """Sends one request on a new connection; returns the status, the headers and the body, or `None` without a whole
    response."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
        try:
            rows = [f"{method} {target} HTTP/1.1", "Connection: close", f"Content-Length: {len(body)}"]
            rows += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write(("\r\n".join(rows) + "\r\n\r\n").encode() + body)
            line, fields = await read_head(reader)
            return int(line.split(" ")[1]), fields, await read_body(reader, fields)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, TypeError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None
