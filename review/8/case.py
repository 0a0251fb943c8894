"""The only runner of one service of a split route is lost for good."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-2"))

import fleet
import jobs
import runner

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
COMPLETION_S = 18
"""The bound `completionS`: how much time batch jobs have after the traffic has ended."""
HEARTBEAT_S = 1.2
RUNNERS = 5
"""The runners of the service with nine tenths of the requests; the other one has a single runner."""
JOBS = 4
ITEMS = 20
EVENTS = 100
EVENT_GAP_S = 0.01
PREFIX = "/summary/"


def manifest():
    """A manifest whose batch route is split between two services, with the weights of the example on the pages."""
    route = jobs.batch_route("summary", PREFIX)
    del route["service"]
    route["trafficSplit"] = [{"service": "scribe", "weight": 90}, {"service": "scribe-new", "weight": 10}]
    document = jobs.manifest(3, [jobs.route("note", "/note/"), route])
    document["services"].append({**document["services"][0], "name": "scribe-new"})
    return document


class Play:
    def __init__(self, record):
        self.record = record
        self.platform = fleet.Fleet(record)
        self.activity = runner.Activity(record)

    @staticmethod
    def output(attempt):
        return [f"{attempt}-{number}" for number in range(1, EVENTS + 1)]

    async def play(self):
        platform = self.platform
        await platform.start_store()
        await platform.put("op/config", manifest())
        for number in range(RUNNERS + 1):
            service = "scribe" if number < RUNNERS else "scribe-new"
            one = runner.Runner(f"i-{number}", service, self.output, self.activity, event_gap_s=EVENT_GAP_S)
            await platform.add_runner(one)
        await platform.add_nodes(fronts=2, batch=3)
        await platform.wait_ready()
        await asyncio.sleep(2)
        if TROUBLE:
            lost = platform.runners.pop()
            lost.server.close()
            self.record(f"runner {lost.name}, the only one of scribe-new, crashes for good")
            await asyncio.sleep(3 * HEARTBEAT_S)
            await platform.call_store("POST", f"/stand-in/remove?key=servers/{lost.name}")
            self.record("platform: its entry is removed after three heartbeats of silence")
        await asyncio.sleep(5)
        accepted = []
        for number in range(JOBS):
            job = f"7c41e09b{number:08x}"
            ids = [f"e5b2907c{number:06x}{item:02x}" for item in range(ITEMS)]
            document = jobs.job_document(PREFIX, ids, b"x" * 1000)
            if not await jobs.submit(self.record, platform.fronts(), job, document, PREFIX):
                return 2
            accepted.append((job, ids))
        self.record("the traffic ends")
        await asyncio.sleep(COMPLETION_S + 1)
        is_idle = self.activity.is_idle()
        missing = await jobs.list_missing(self.record, platform.fronts(), accepted)
        if missing is None:
            return 2
        for item in missing:
            self.record(f"item {item} is listed neither as completed nor as errored; it ran "
                        f"{len(self.activity.runs.get(item, []))} times")
        return 1 if missing and is_idle else 0


async def play(record):
    case = Play(record)
    try:
        return await case.play()
    finally:
        await case.platform.end()


if __name__ == "__main__":
    fleet.main(HERE, play)
