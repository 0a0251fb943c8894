"""Starts the programs of the deploy file beside stand-ins for the platform, runners and clients, and keeps a record."""

import asyncio
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import http1
from store import Store

ROOT = Path(__file__).resolve().parents[2]
HERE = Path(__file__).resolve().parent
HEARTBEAT_S = 1.2
BOUNDS = {"bounds.configApplyMs": "2000", "bounds.graceS": "8"}
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Time for all listings and leases to settle after the processes have started.
START_TIMEOUT_S = 15.0


def free_port():
    """Returns a port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            tcp.bind(("127.0.0.1", 0))
            try:
                udp.bind(tcp.getsockname())
            except OSError:
                continue
            return tcp.getsockname()[1]


class Harness:
    """One run of a case."""

    def __init__(self, folder):
        self.record_file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.processes, self.runners, self.events = [], {}, []
        self.temporary = tempfile.TemporaryDirectory()
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.store = Store()

    def now(self):
        return time.monotonic() - self.started

    def record(self, *words):
        """Writes a line to the record, with the time in seconds."""
        print(f"{self.now():8.3f}", *words, file=self.record_file, flush=True)

    async def start_node(self, role, name, zone="zone-a", store_port=None):
        """Starts a program of the deploy file with its template; returns its addresses by the name of the field. It reaches
        the store at `store_port` if one is given."""
        plan = self.deploy["roles"][role]
        fields = BOUNDS | {"nodeName": name, "zone": zone, "ip": "127.0.0.1", "portRange.0": str(free_port())}
        fields |= {"platform.address": f"127.0.0.1:{store_port or self.store.port}"}
        fields |= {"listen.front": f"127.0.0.1:{free_port()}", "listen.ready": f"127.0.0.1:{free_port()}"}
        text = (ROOT / plan["template"]).read_text()
        path = Path(self.temporary.name) / f"{name}.ini"
        path.write_text(re.sub(r"\{\{([^}]+)\}\}", lambda it: fields[it[1]], text))
        log = open(Path(self.temporary.name) / f"{name}.log", "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        process = await asyncio.create_subprocess_exec(
            *plan["run"].split(), cwd=ROOT, env=environment | {"EELGRASSGAP_NODE_FILE": str(path)},
            stdout=log, stderr=log)
        self.processes.append(process)
        self.record("started", role, name, "as process", process.pid)
        return fields | {"process": process, "log": log.name}

    async def wait_ready(self, node):
        """Waits until a front node says that it is ready."""
        while self.now() < START_TIMEOUT_S:
            answer = await http1.call(node["listen.ready"], "GET", "/eelgrassgap/readiness", timeout=1.0)
            if answer and answer[0] == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the front node did not get ready")

    async def start_runner(self, id, service, port=None, slots=4, first_ms=100, gap_ms=50, events=20, version="v1",
                           listed_after_s=0.0):
        """Starts a runner and lists it in the store, at once or after a part of a heartbeat."""
        port = port or free_port()
        words = [id, port, slots, first_ms, gap_ms, events, version]
        process = await asyncio.create_subprocess_exec(
            sys.executable, str(HERE / "runner.py"), *map(str, words), stdout=asyncio.subprocess.PIPE)
        self.processes.append(process)
        await process.stdout.readline()
        runner = {"id": id, "process": process, "port": port, "got": []}
        self.runners[id] = runner
        asyncio.get_running_loop().create_task(self.follow(runner))
        entry = {"service": service, "address": f"127.0.0.1:{port}", "zone": "zone-a", "version": version}
        entry |= {"slots": slots, "state": "ready", "coldLeftMs": 0, "callSeq": 0, "born": int(time.time() * 1000)}
        self.record("runner", id, "serves at port", port, "at version", version)
        await asyncio.sleep(listed_after_s)
        self.store.put(f"servers/{id}", entry)
        self.record("runner", id, "is listed at version", version)
        return runner

    async def follow(self, runner):
        """Records what a runner says."""
        while line := (await runner["process"].stdout.readline()).decode().split():
            self.record("runner", runner["id"], *line)
            self.events.append((self.now(), runner["id"], *line))
            if line[0] == "got":
                runner["got"].append(line[1])

    async def crash_runner(self, runner):
        """Crashes a runner. Its entry is removed after three heartbeats of silence."""
        runner["process"].send_signal(signal.SIGUSR1)
        self.record("runner", runner["id"], "crashes")
        await runner["process"].wait()

        async def lapse():
            await asyncio.sleep(3 * HEARTBEAT_S)
            if self.runners[runner["id"]] is runner:
                self.store.remove(f"servers/{runner['id']}")

        asyncio.get_running_loop().create_task(lapse())

    async def end(self):
        """Ends all processes that the run started."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
        for process in self.processes:
            await process.wait()
        self.record("all processes have ended")
        self.temporary.cleanup()


def run(case, folder):
    """Runs `case(harness)`, which returns an exit code; exits with it, and with 2 if the case could not run."""

    async def main():
        harness = Harness(folder)
        await harness.store.start()
        try:
            code = await case(harness)
        except Exception as error:  # noqa: BLE001
            harness.record("the case could not run:", repr(error))
            code = NOT_RUN
        finally:
            await harness.end()
        harness.record("exit code", code)
        return code

    code = asyncio.run(main())
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[code])
    sys.exit(code)
