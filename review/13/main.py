"""Runners crash while they answer without a length: what they had sent is listed as the whole output of the item."""
import asyncio
import os
import random
import signal
import sys
import time
import traceback
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-3"))
import fleet as f  # noqa: E402
from runners import text_of  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
FRONT_MB, STORAGE_MB, SLOTS = 260, 280, 8
PREFIX = "/pule252/"
RUNNERS, CRASHED, DOWN_S = 12, 2, 4.5
JOBS, ITEMS, BODY_BYTES, EVENTS, EVENT_BYTES = 6, 20, 1_500, 200, 60
CRASH_S, COMPLETION_S = 1.5, 18.0


async def read(fleet, job):
    """Reads all results of a job; returns them by item."""
    known = {}
    for _ in range(40):
        front = random.choice(fleet.fronts())
        answer = await f.request(front.http, "GET", f"/eelgrassgap/lots/{job}?after={len(known)}", {}, timeout_s=2.5)
        if answer.status == 200 and answer.is_complete:
            page = answer.json()
            known.update((it["id"], (it["state"], it["text"])) for it in page["results"])
            if not page["results"] or len(known) == page["total"]:
                return known
        await asyncio.sleep(0.2)
    return known


async def main():
    record = f.Record(HERE / "record.txt")
    record.say(f"TROUBLE={int(TROUBLE)}")
    runners = [{"id": f"i-{number:08x}", "service": "scribe", "zone": f"zone-{number % 3}", "slots": SLOTS, "queue": 24, "kind": "events",
                "events": EVENTS, "event_bytes": EVENT_BYTES, "pace_ms": 8, "batch": 4, "framing": "connection", "process": number}
               for number in range(RUNNERS)]
    fleet = f.Fleet(record, runners, [f.batch_route(PREFIX, "scribe")], [{"name": "scribe"}])
    try:
        nodes = [(f"front-{zone}", f"zone-{zone}", "gateway", FRONT_MB) for zone in range(3)]
        nodes += [(f"storage-{zone}", f"zone-{zone}", "batch", STORAGE_MB) for zone in range(3)]
        await fleet.start(nodes)
        jobs = [f"job{number}e9b52d6a3f8" for number in range(JOBS)]
        for job in jobs:
            headers = {"X-Eelgrassgap-Attempt-Id": job, "X-Eelgrassgap-Deadline-Ms": "4000"}
            answer = await f.request(random.choice(fleet.fronts()).http, "POST", f"{PREFIX}x", headers, f.job_body(job, PREFIX, ITEMS, BODY_BYTES), 5.5)
            record.say(f"CLIENT job {job} of {ITEMS} items: {answer.status}")
            if answer.status != 202:
                return 2
        ended = time.time() + COMPLETION_S
        await asyncio.sleep(CRASH_S)
        if TROUBLE:
            for process in range(CRASHED):
                fleet.runners[process].send_signal(signal.SIGKILL)
            record.say(f"CRASH of {CRASHED} of {RUNNERS} runners, for {DOWN_S} s")
            await asyncio.sleep(DOWN_S)
            for process in range(CRASHED):
                fleet.runners[process].wait()
                fleet.runners[process] = fleet.start_runners(process)
        await asyncio.sleep(ended - time.time())
        short, states = [], Counter()
        runs = fleet.read_runs()
        for job in jobs:
            for item, (state, text) in (await read(fleet, job)).items():
                states[state] += 1
                whole = "\n".join(text_of(item, event, EVENT_BYTES) for event in range(1, EVENTS + 1))
                if state == "completed" and text != whole:
                    events = len(text.split("\n"))
                    story = [f"{it['what']} {it['runner']}" for it in runs if it["id"] == item]
                    is_start = whole.startswith(text)
                    record.say(f"RESULT {item} of {job}: completed with {events} of {EVENTS} events{'' if is_start else ', others than its own'}; its runs: {', '.join(story)}")
                    short.append(item)
        record.say(f"MIXED: {len(short)} of {JOBS * ITEMS} results are listed as completed with a text that isn't the item's whole output; states {dict(states)}")
        return 1 if short else 0
    finally:
        fleet.stop()


if __name__ == "__main__":
    try:
        code = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
