"""Starts a small deployment on loopback addresses: the system's own processes by the commands of the deploy file, and the
stand-ins of the platform and its runners. Ends all of them.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
HOST = "fleet.example"
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

# Ends what a script started also when the script itself is ended.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


def free_ports(count):
    """Free ports: of TCP and UDP, as a node uses one number for both."""
    sockets = []
    try:
        while len(sockets) < 2 * count:
            stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            stream.bind(("127.0.0.1", 0))
            datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                datagram.bind(("127.0.0.1", stream.getsockname()[1]))
            except OSError:
                stream.close()
                datagram.close()
                continue
            sockets += [stream, datagram]
        return [it.getsockname()[1] for it in sockets[::2]]
    finally:
        for it in sockets:
            it.close()


def run_of(role):
    """The command of a role in the deploy file."""
    with open(ROOT / "deploy" / "system.toml", "rb") as file:
        return tomllib.load(file)["roles"][role]["run"].split(" ")


class Record:
    """What was sent, answered and run, for record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1, encoding="utf-8")
        self.started = time.time()

    def say(self, text):
        line = f"{time.time() - self.started:8.2f} {text}"
        self.file.write(line + "\n")
        print(line, flush=True)


class Node:
    """One process of the system, with a settings file as the templates of the deploy file give it."""

    def __init__(self, fleet, name, zone, role, memory_mb):
        self.fleet, self.name, self.role, self.memory_mb = fleet, name, role, memory_mb
        self.process, self.ends, self.peak_mb = None, [], 0
        self.peers, self.http, self.ready = free_ports(3)
        lines = ["[node]", f"name = {name}", f"data_centre = {zone}", "", "[listen]"]
        if role == "gateway":
            lines += [f"http = 127.0.0.1:{self.http}", f"ready = 127.0.0.1:{self.ready}"]
        lines += [f"peers = 127.0.0.1:{self.peers}", f"admin = 127.0.0.1:{self.peers}", "", "[store]",
                  f"endpoint = http://127.0.0.1:{fleet.store_port_of(name)}", "lease_ttl_ms = 2000", "max_staleness_ms = 2000", "",
                  "[batch]", f"enabled = {'false' if role == 'gateway' else 'true'}", "", "[telemetry]", "log_format = json",
                  "log_level = info", "", "[drain]", "timeout_ms = 8000", "", "[limits]", f"memory_mb = {memory_mb}"]
        self.settings = fleet.folder / f"{name}.ini"
        self.settings.write_text("\n".join(lines) + "\n", encoding="utf-8")
        self.log = fleet.folder / f"{name}.log"

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["EELGRASSGAP_NODE_FILE"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(run_of(self.role), cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def rss_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        except (OSError, IndexError):
            return 0

    def send(self, number):
        self.process.send_signal(number)


class Fleet:
    def __init__(self, record, runners, routes, services, beat_ms=1200):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record, self.runner_configs = record, runners
        self.store_port, *ports = free_ports(1 + len(runners))
        for it, port in zip(runners, ports):
            it["port"] = port
        self.beat_ms, self.routes, self.services = beat_ms, routes, services
        self.version = 0
        self.nodes, self.helpers, self.tasks = [], [], []
        self.runs = self.folder / "runs.jsonl"
        self.runs.touch()

    def store_port_of(self, name):
        return self.store_port

    def helper(self, *command):
        process = subprocess.Popen([sys.executable, *map(str, command)], stdin=subprocess.DEVNULL)
        self.helpers.append(process)
        return process

    async def start(self, nodes):
        self.helper(HERE / "store.py", self.store_port)
        await self.until(lambda: is_open(self.store_port), 10)
        await self.configure()
        # Runners with the same `process` share one.
        self.runners = {process: self.start_runners(process) for process in {it.get("process", 0) for it in self.runner_configs}}
        for name, zone, role, memory_mb in nodes:
            self.nodes.append(Node(self, name, zone, role, memory_mb))
        for node in self.nodes:
            node.start()
        await self.until(lambda: all(is_ready(it) for it in self.fronts()), 15)
        await asyncio.sleep(3)

    def start_runners(self, process):
        config = self.folder / f"runners-{process}.json"
        runners = [it for it in self.runner_configs if it.get("process", 0) == process]
        config.write_text(json.dumps({"store": self.store_port, "beat_ms": self.beat_ms, "runners": runners}), encoding="utf-8")
        return self.helper(HERE / "runners.py", config, self.runs)

    def fronts(self):
        return [it for it in self.nodes if it.role == "gateway"]

    async def configure(self, routes=None):
        self.version += 3
        if routes is not None:
            self.routes = routes
        document = {"version": self.version, "routes": self.routes, "services": self.services, "limits": LIMITS}
        value = base64.b64encode(json.dumps(document).encode()).decode()
        body = json.dumps({"expectRev": [], "writes": [{"key": "op/config", "value": value, "lease": 0}], "remove": []})
        answer = await request(self.store_port, "POST", "/eelgrassgap/kv-txn", {"X-Platform": "1"}, body.encode())
        assert answer.status == 200, answer

    async def keep_alive(self, restart_s=0.5):
        """What the platform does: it ends a process that uses more than its machine's memory, and starts one that has ended."""
        while True:
            for node in self.nodes:
                ended = node.process.poll()
                rss_mb = node.rss_mb() if ended is None else 0
                node.peak_mb = max(node.peak_mb, rss_mb)
                if rss_mb > node.memory_mb:
                    self.record.say(f"PLATFORM {node.name} uses {rss_mb:.0f} MB of {node.memory_mb}: it is ended")
                    node.send(signal.SIGKILL)
                    node.process.wait()
                    ended = "memory"
                if ended is not None:
                    node.ends.append(ended)
                    if ended != "memory":
                        self.record.say(f"PLATFORM {node.name} has ended with {ended}")
                    await asyncio.sleep(restart_s)
                    node.start()
            await asyncio.sleep(0.05)

    async def until(self, condition, limit_s):
        until = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > until:
                raise RuntimeError("the deployment has not started in time")
            await asyncio.sleep(0.05)

    def read_runs(self):
        with open(self.runs, encoding="utf-8") as file:
            return [json.loads(line) for line in file if line.endswith("\n")]

    def stop(self):
        for process in [it.process for it in self.nodes if it.process] + self.helpers:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def is_open(port):
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) == 0


def is_ready(node):
    try:
        with socket.create_connection(("127.0.0.1", node.ready), 0.5) as probe:
            probe.sendall(b"GET /eelgrassgap/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return probe.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


class Answer:
    """A response; status 0 if there was none."""

    def __init__(self, status, headers=None, body=b"", is_complete=True):
        self.status, self.headers, self.body, self.is_complete = status, headers or {}, body, is_complete

    def json(self):
        return json.loads(self.body)

    def __repr__(self):
        return f"{self.status} ({len(self.body)} bytes{'' if self.is_complete else ', broken off'})"


async def request(port, method, path, headers, body=b"", timeout_s=10.0, source=None):
    """Sends one request on a new connection, and reads its whole answer."""
    writer = None
    answer = Answer(0, is_complete=False)
    try:
        async with asyncio.timeout(timeout_s):
            local = (source, 0) if source else None
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22, local_addr=local)
            fields = {"Host": HOST, "Content-Length": len(body), **headers}
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            await read_answer(reader, answer)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, asyncio.LimitOverrunError):
        pass
    finally:
        if writer:
            writer.close()
    return answer


async def read_answer(reader, answer):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    for line in lines[1:]:
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    answer.status = status
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        answer.body = await reader.readexactly(int(answer.headers.get("content-length", 0)))
    answer.is_complete = True


def batch_route(prefix, service, due_ms=18_000, max_queue_s=60, attempts=3):
    return {"name": f"batch-{service}", "host": HOST, "pathPrefix": prefix, "routeType": "batch", "service": service, "timeoutMs": 15_000,
            "targetLatencyMs": 400, "priority": 2, "maxAttempts": attempts, "dueMs": due_ms, "maxQueueS": max_queue_s, "gapAimMs": 250}


def job_body(job, prefix, count, body_bytes, tokens=500):
    items = []
    for number in range(count):
        item = f"{job}-{number:03}"
        headers = {"X-Eelgrassgap-Model": "m", "X-Eelgrassgap-Token-Count": f"250,{tokens - 250}", "X-Eelgrassgap-Prefix-Hash": f"9c2e41:100,{abs(hash(item)) % (1 << 32):x}:250"}
        body = base64.b64encode(os.urandom(body_bytes)).decode()
        items.append({"id": item, "path": f"{prefix}3/{number}", "headers": headers, "body": body, "tokens": tokens})
    return json.dumps({"items": items}, separators=(",", ":")).encode()
