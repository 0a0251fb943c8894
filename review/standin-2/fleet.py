"""Starts the project's gateway processes as the deploy file does, and stands in for the platform around them."""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import http1

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
RESTART_DELAY_S = 0.5


def free_port(kinds=(socket.SOCK_STREAM,)):
    """A port that is free for all of these kinds of socket."""
    while True:
        first = socket.socket(socket.AF_INET, kinds[0])
        first.bind(("127.0.0.1", 0))
        port = first.getsockname()[1]
        try:
            for kind in kinds[1:]:
                with socket.socket(socket.AF_INET, kind) as other:
                    other.bind(("127.0.0.1", port))
            return port
        except OSError:
            continue
        finally:
            first.close()


class Record:
    """Writes what was sent, answered and run to a file, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Node:
    """One process of a role of the deploy file. The platform starts it again when it ends."""

    def __init__(self, fleet, role, name, zone):
        self.fleet, self.role, self.name, self.zone = fleet, role, name, zone
        self.front = ("127.0.0.1", free_port())
        self.ready = ("127.0.0.1", free_port())
        self.peers = free_port((socket.SOCK_DGRAM, socket.SOCK_STREAM))
        self.process = None
        self.is_stopping = False
        self.killed_for_memory = 0
        self.peak_mb = 0.0
        self.starts = 0

    def settings(self):
        fields = {
            "nodeName": self.name, "zone": self.zone, "ip": "127.0.0.1", "portRange.0": str(self.peers),
            "listen.front": f"127.0.0.1:{self.front[1]}", "listen.ready": f"127.0.0.1:{self.ready[1]}",
            "platform.address": f"127.0.0.1:{self.fleet.store_port}",
            "bounds.configApplyMs": "2000", "bounds.graceS": "8",
        }
        template = (ROOT / self.fleet.deploy["roles"][self.role]["template"]).read_text()
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda it: fields[it.group(1)], template)
        if self.memory_limit_mb():
            # On the platform /proc/meminfo has the machine's memory; here it has another one.
            text += f"\n[limits]\nmemory_mb = {self.memory_limit_mb()}\n"
        return text

    async def start(self):
        path = self.fleet.folder / f"{self.name}.ini"
        path.write_text(self.settings())
        words = self.fleet.deploy["roles"][self.role]["run"].split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["EELGRASSGAP_NODE_FILE"] = str(path)
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.starts += 1

    async def keep(self):
        """Restarts the process whenever it ends, with a short delay."""
        while not self.fleet.is_ending:
            code = await self.process.wait()
            if self.fleet.is_ending:
                return
            self.fleet.record(f"{self.name} ended ({code})")
            await asyncio.sleep(RESTART_DELAY_S)
            if not self.fleet.is_ending:
                await self.start()
                self.fleet.record(f"{self.name} started again")

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    def memory_limit_mb(self):
        limit_mb = self.fleet.memory_mb
        return limit_mb.get(self.role) if isinstance(limit_mb, dict) else limit_mb

    def memory_mb(self):
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)


class Fleet:
    """`memory_mb` is the memory of each machine, or of the machines of each role; None sets no limit."""

    def __init__(self, record, memory_mb=None):
        self.record = record
        self.memory_mb = memory_mb
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.store_port = free_port()
        self.store = None
        self.nodes = []
        self.runners = []
        self.tasks = []
        self.is_ending = False

    async def start_store(self):
        self.store = await asyncio.create_subprocess_exec(sys.executable, str(HERE / "store.py"), str(self.store_port))
        for _ in range(100):
            if (await self.call_store("GET", "/eelgrassgap/kv-range?pathPrefix=op/"))[0] == 200:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("the store does not start")

    async def call_store(self, method, target, body=b"", timeout_s=5.0):
        return await http1.call(("127.0.0.1", self.store_port), method, target, [("Host", "store")], body, timeout_s)

    async def put(self, key, document):
        value = base64.b64encode(json.dumps(document).encode())
        status, _, _ = await self.call_store("POST", f"/stand-in/put?key={key}", value)
        if status != 200:
            raise RuntimeError(f"cannot write {key}")

    async def add_runner(self, runner):
        await runner.start()
        self.runners.append(runner)
        await self.put(f"servers/{runner.name}", runner.entry())
        if len(self.runners) == 1:
            self.tasks.append(asyncio.create_task(runner.activity.watch(self.runners)))

    async def add_nodes(self, fronts, batch):
        for role, prefix, count in (("gateway", "front", fronts), ("batch", "storage", batch)):
            for number in range(count):
                node = Node(self, role, f"{prefix}-{number + 1}", f"zone-{'abc'[number % 3]}")
                self.nodes.append(node)
                await node.start()
                self.tasks.append(asyncio.create_task(node.keep()))
        if self.memory_mb:
            self.tasks.append(asyncio.create_task(self.watch_memory()))

    async def watch_memory(self):
        """Kills a process that uses more than its machine's memory, as the platform does."""
        while True:
            for node in self.nodes:
                used_mb = node.memory_mb()
                node.peak_mb = max(node.peak_mb, used_mb)
                if used_mb > node.memory_limit_mb() and node.process.returncode is None:
                    self.record(f"{node.name} uses {used_mb:.0f} MB of {node.memory_limit_mb()} MB and is killed")
                    node.killed_for_memory += 1
                    node.signal(signal.SIGKILL)
            await asyncio.sleep(0.01)

    def fronts(self):
        return [it for it in self.nodes if it.role == "gateway"]

    def storage(self):
        return [it for it in self.nodes if it.role == "batch"]

    def record_starts(self):
        for node in self.nodes:
            self.record(f"{node.name} was started {node.starts} times, and killed {node.killed_for_memory} times for its "
                        f"memory; its peak is {node.peak_mb:.0f} MB")

    async def wait_ready(self):
        fronts = self.fronts()
        for _ in range(200):
            answers = [await http1.call(it.ready, "GET", "/eelgrassgap/readiness", [("Host", "x")]) for it in fronts]
            if all(answer[0] == 200 for answer in answers):
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("the front nodes are not ready")

    async def end(self):
        self.is_ending = True
        for task in self.tasks:
            task.cancel()
        for process in [it.process for it in self.nodes] + [self.store]:
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for runner in self.runners:
            runner.server.close()
        shutil.rmtree(self.folder, ignore_errors=True)


async def guarded(play, record):
    """Plays a case, and ends it in order when the script is told to end."""
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await play(record)


def main(folder, play):
    """Plays a case and exits as the review's scripts do: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(Path(folder) / "record.txt")
    try:
        code = asyncio.run(guarded(play, record))
    except (OSError, RuntimeError, asyncio.CancelledError) as error:
        record(f"the case could not run: {error!r}")
        code = 2
    record({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.exit(code)
