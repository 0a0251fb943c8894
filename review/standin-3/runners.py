#!/usr/bin/env python3
"""Stand-ins for model runners and plain services, several in one process.

Usage: runners.py CONFIG.json RUNS.jsonl. CONFIG: `store` (port), `beat_ms`, and `runners`, a list of `id`, `port`, `service`,
`zone`, `slots`, `queue`, `kind` (`events` or `plain`), `events`, `event_bytes`, `pace_ms` (between two events), `batch` (events
a write) `work_ms` and `answer_bytes` (plain), `framing` (`connection` for answers without a length that end with their connection). RUNS gets a line when a request arrives, begins, and ends.

Each runner follows the pages: it registers in the store and renews its entry, admits `slots` requests at once and queues
`queue` more, refuses the rest with 503 and `X-Eelgrassgap-Not-Executed`, answers 421 to a request for another instance,
resumes after `Last-Event-Id`, echoes the attempt's id, signs its answers, and drops a request whose connection closes.
"""
import asyncio
import base64
import hashlib
import json
import sys
import time

BORN = int(time.time() * 1000)


def text_of(request_id, event, size):
    """The data of an event: the same for a request at each runner."""
    seed = hashlib.sha256(f"{request_id}/{event}".encode()).hexdigest()
    return (seed * (size // len(seed) + 1))[:size]


class Log:
    def __init__(self, path):
        self.file = open(path, "a", buffering=1, encoding="utf-8")

    def write(self, **fields):
        self.file.write(json.dumps({"at": round(time.time(), 4), **fields}) + "\n")


class Runner:
    def __init__(self, config, log):
        self.config, self.log = config, log
        self.slots = asyncio.Semaphore(config["slots"])
        self.running = self.waiting = 0

    def entry(self):
        it = self.config
        return {"service": it["service"], "address": f"127.0.0.1:{it['port']}", "zone": it["zone"], "version": "1",
                "slots": it["slots"], "state": "ready", "coldLeftMs": 0, "callSeq": 0, "born": BORN}

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        if path == "/eelgrassgap/report":
            state = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "callSeq": 0,
                     "waiting": self.waiting, "running": self.running, "kvUsed": 0, "kvTotal": 134354, "handles": 0, "born": BORN}
            await self.send(writer, 200, {}, json.dumps(state).encode())
            return True
        request_id = headers.get("x-eelgrassgap-attempt-id", "")
        echo = {"X-Eelgrassgap-Attempt-Id": request_id}
        if headers.get("x-eelgrassgap-expect-instance", self.config["id"]) != self.config["id"]:
            await self.send(writer, 421, {**echo, "X-Eelgrassgap-Not-Executed": "1"}, b"")
            return True
        if not request_id or self.waiting >= self.config["queue"]:
            await self.send(writer, 503 if request_id else 400, {**echo, "X-Eelgrassgap-Not-Executed": "1"}, b"")
            return True
        self.log.write(what="reached", id=request_id, runner=self.config["id"], path=path, bytes=len(body), after=headers.get("last-event-id"))
        run = asyncio.create_task(self.run(writer, request_id, echo, headers))
        gone = asyncio.create_task(until_closed(reader))
        done, _ = await asyncio.wait([run, gone], return_when=asyncio.FIRST_COMPLETED)
        if run in done:
            gone.cancel()
            run.result()
            return self.config.get("framing") != "connection"
        run.cancel()
        self.log.write(what="left", id=request_id, runner=self.config["id"])
        return False

    async def run(self, writer, request_id, echo, headers):
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.log.write(what="began", id=request_id, runner=self.config["id"])
            seal = {**echo, "X-Eelgrassgap-Response-Seal": hashlib.sha256(request_id.encode()).hexdigest()[:24]}
            if self.config["kind"] == "plain":
                await asyncio.sleep(self.config["work_ms"] / 1000)
                await self.send(writer, 200, seal, text_of(request_id, 0, self.config.get("answer_bytes", 800)).encode())
            else:
                await self.stream(writer, request_id, seal, headers)
            self.log.write(what="ended", id=request_id, runner=self.config["id"])
        finally:
            self.running -= 1
            self.slots.release()

    async def stream(self, writer, request_id, seal, headers):
        it = self.config
        is_chunked = it.get("framing") != "connection"
        framing = {"Transfer-Encoding": "chunked", "Keep-Alive": "timeout=5"} if is_chunked else {"Connection": "close"}
        fields = {**seal, "Content-Type": "text/event-stream", **framing}
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n").encode())
        event = int(headers.get("last-event-id", 0)) + 1
        while event <= it["events"]:
            last = min(event + it["batch"] - 1, it["events"])
            await asyncio.sleep(it["pace_ms"] * (last - event + 1) / 1000)
            piece = "".join(f"id: {number}\ndata: {text_of(request_id, number, it['event_bytes'])}\n\n" for number in range(event, last + 1)).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece) if is_chunked else piece)
            await writer.drain()
            event = last + 1
        if is_chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def send(self, writer, status, headers, body):
        fields = {**headers, "Content-Length": len(body), "Keep-Alive": "timeout=5"}
        writer.write((f"HTTP/1.1 {status} X\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n").encode() + body)
        await writer.drain()


async def until_closed(reader):
    """Waits until the other end has closed the connection, without taking bytes from it."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


async def register(config, runners):
    """Writes the entries of the runners into the store, and renews them under one lease."""
    lease = None
    while True:
        try:
            if lease is None:
                lease = (await call(config["store"], "POST", "/eelgrassgap/kv-lease", {"ttlMs": 3 * config["beat_ms"]}))[1]["lease"]
                writes = [{"key": f"servers/{it.config['id']}", "value": base64.b64encode(json.dumps(it.entry()).encode()).decode(), "lease": lease} for it in runners]
                for at in range(0, len(writes), 30):
                    await call(config["store"], "POST", "/eelgrassgap/kv-txn", {"expectRev": [], "writes": writes[at:at + 30], "remove": []})
            status, _ = await call(config["store"], "POST", f"/eelgrassgap/kv-keep/{lease}", {})
            lease = None if status == 404 else lease
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(config["beat_ms"] / 1000)


async def call(port, method, path, body):
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 24)
    try:
        text = json.dumps(body).encode()
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: store\r\nX-Platform: 1\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
        lines = head.decode().split("\r\n")
        length = next(int(line.split(":")[1]) for line in lines if line.lower().startswith("content-length"))
        answer = await reader.readexactly(length)
        return int(lines[0].split(" ")[1]), json.loads(answer or b"{}")
    finally:
        writer.close()


async def main():
    with open(sys.argv[1], encoding="utf-8") as file:
        config = json.load(file)
    log = Log(sys.argv[2])
    runners = [Runner(it, log) for it in config["runners"]]
    for runner in runners:
        await asyncio.start_server(runner.serve, "127.0.0.1", runner.config["port"], limit=1 << 22)
    await register(config, runners)


if __name__ == "__main__":
    asyncio.run(main())
