"""The operator removes the route of a batch job while items of the job wait."""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-2"))

import fleet
import jobs
import runner

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
COMPLETION_S = 18
"""The bound `completionS`: how much time batch jobs have after the traffic has ended."""
TRAFFIC_ENDS_S = 14
LAST_LOOK_S = 75
ITEMS = 40
EVENTS = 100
EVENT_GAP_S = 0.03
PREFIX = "/summary/"


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
        keep = jobs.route("note", "/note/")
        await platform.put("op/config", jobs.manifest(3, [keep, jobs.batch_route("summary", PREFIX)]))
        for number in (1, 2):
            one = runner.Runner(f"i-{number}", "scribe", self.output, self.activity, event_gap_s=EVENT_GAP_S)
            await platform.add_runner(one)
        await platform.add_nodes(fronts=2, batch=3)
        await platform.wait_ready()
        await asyncio.sleep(3)
        start = time.monotonic()
        job = "7c41e09b52d6a3f8"
        ids = [f"e5b2907c{number:08x}" for number in range(ITEMS)]
        document = jobs.job_document(PREFIX, ids, b"x" * 1000)
        if not await jobs.submit(self.record, platform.fronts(), job, document, PREFIX):
            return 2
        await asyncio.sleep(1)
        if TROUBLE:
            await platform.put("op/config", jobs.manifest(8, [keep]))
            self.record("operator: version 8 of the manifest, without the route of the job, is acknowledged")
        await asyncio.sleep(max(0, start + TRAFFIC_ENDS_S - time.monotonic()))
        self.record("the traffic ends")
        await asyncio.sleep(COMPLETION_S + 1)
        is_idle = self.activity.is_idle()
        missing = await jobs.list_missing(self.record, platform.fronts(), [(job, ids)])
        if missing is None:
            return 2
        for item in missing:
            self.record(f"item {item} is listed neither as completed nor as errored; it ran "
                        f"{len(self.activity.runs.get(item, []))} times")
        code = 1 if missing and is_idle else 0
        # What comes of the items later is no part of the check.
        while missing and time.monotonic() < start + LAST_LOOK_S:
            await asyncio.sleep(5)
            missing = await jobs.list_missing(self.record, platform.fronts(), [(job, ids)])
        return code


async def play(record):
    case = Play(record)
    try:
        return await case.play()
    finally:
        await case.platform.end()


if __name__ == "__main__":
    fleet.main(HERE, play)
