"""A stand-in of a model runner: it answers requests with a stream of events and lists itself in the store."""

import asyncio
import json
import time

import http1


class Activity:
    """Records what the runners run, and how busy they were."""

    CALM_S = 5
    """The bound of the rule LOST: how long no runner had an unlisted item."""
    IDLE_S = 3
    """The bound of the rule LOST: how long no item of any batch job was finished."""

    def __init__(self, record):
        self.record = record
        self.runs = {}
        self.finished_at = None
        self.busy_at = None

    def on_run(self, runner, attempt, last):
        self.runs.setdefault(attempt, []).append(runner.name)
        self.record(f"runner {runner.name} runs {attempt} after event {last}")

    def on_end(self, runner, attempt):
        self.finished_at = time.monotonic()
        self.record(f"runner {runner.name} has finished {attempt}")

    async def watch(self, runners):
        while True:
            if any(it.running for it in runners):
                self.busy_at = time.monotonic()
            await asyncio.sleep(0.05)

    def is_idle(self):
        """Returns whether no runner had any request in the last 5 s, and none finished one in the last 3 s."""
        now = time.monotonic()
        busy_s = now - (self.busy_at or 0)
        finished_s = now - (self.finished_at or 0)
        self.record(f"the last time that a runner had a request is {min(busy_s, 999):.1f} s ago, the last finished item "
                    f"{min(finished_s, 999):.1f} s ago")
        return busy_s > self.CALM_S and finished_s > self.IDLE_S


class Runner:
    """`output(id)` returns the data of all events of a request, which follow one another by `event_gap_s`."""

    def __init__(self, name, service, output, activity, slots=8, event_gap_s=0.0):
        self.name = name
        self.service = service
        self.output = output
        self.activity = activity
        self.slots = slots
        self.event_gap_s = event_gap_s
        self.born = int(time.time() * 1000)
        self.port = 0
        self.running = set()
        self.server = None

    async def start(self):
        self.server = await http1.serve("127.0.0.1", 0, self.handle)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        return {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "zone-a", "version": "v1",
            "slots": self.slots, "state": state, "coldLeftMs": 0, "callSeq": 0, "born": self.born,
        }

    def report(self):
        return {
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "callSeq": 0,
            "waiting": 0, "running": len(self.running), "kvUsed": 0, "kvTotal": 134354, "handles": 0, "born": self.born,
        }

    async def handle(self, request, writer):
        method, target, _ = request.first
        if method == "GET" and target.startswith("/eelgrassgap/report"):
            body = json.dumps(self.report()).encode()
            await http1.respond(writer, 200, body, [("Content-Type", "application/json")])
            return True
        if method == "GET" and target == "/health":
            await http1.respond(writer, 200, b"", [("X-Eelgrassgap-Instance-Id", self.name)])
            return True
        attempt = request.get("x-eelgrassgap-attempt-id", "")
        echo = [("X-Eelgrassgap-Attempt-Id", attempt)]
        expected = request.get("x-eelgrassgap-expect-instance")
        if expected not in (None, self.name):
            await http1.respond(writer, 421, b"", [*echo, ("X-Eelgrassgap-Not-Executed", "1")])
            return True
        if len(self.running) >= self.slots:
            await http1.respond(writer, 503, b"", [*echo, ("X-Eelgrassgap-Not-Executed", "1")])
            return True
        return await self.run(request, writer, attempt, echo)

    async def run(self, request, writer, attempt, echo):
        last = int(request.get("last-event-id", "0"))
        token = (attempt, time.monotonic())
        self.running.add(token)
        self.activity.on_run(self, attempt, last)
        try:
            events = self.output(attempt)
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            lines += [f"{name}: {value}" for name, value in echo]
            lines += ["X-Eelgrassgap-Response-Seal: stand-in." + attempt, "X-Eelgrassgap-Weight-Versions: 1"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            texts = [f"id: {n}\ndata: {data}\n\n".encode() for n, data in enumerate(events, 1) if n > last]
            if self.event_gap_s == 0.0:
                texts = [b"".join(texts)] if texts else []
            for text in texts:
                writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")
                await writer.drain()
                if self.event_gap_s:
                    await asyncio.sleep(self.event_gap_s)
                    if request.reader.at_eof():
                        return False
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.activity.on_end(self, attempt)
            return True
        finally:
            self.running.discard(token)
