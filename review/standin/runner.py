"""A stand-in for a model runner: one process that streams numbered events, as PROTOCOL.md describes it.

Usage: runner.py ID PORT SLOTS FIRST_MS GAP_MS EVENTS VERSION

Prints a line for each thing that happens: `ready`, `got ID AFTER`, `full ID`, `end ID`.

SIGUSR1 makes it crash: nothing listens at its port any more when its connections break.
"""

import asyncio
import os
import signal
import sys

import http1

ID, PORT, SLOTS, FIRST_MS, GAP_MS, EVENTS = sys.argv[1], *map(int, sys.argv[2:7])
VERSION = sys.argv[7]
running = 0


def tell(*words):
    print(*words, flush=True)


async def handle(request, writer):
    global running
    if request.method == "GET" and request.target == "/health":
        http1.respond(writer, 200, headers={"X-Eelgrassgap-Instance-Id": ID})
        return True
    attempt = request.headers.get("x-eelgrassgap-attempt-id", "")
    echo = {"X-Eelgrassgap-Attempt-Id": attempt}
    if request.headers.get("x-eelgrassgap-expect-instance", ID) != ID:
        http1.respond(writer, 421, headers=echo | {"X-Eelgrassgap-Instance-Id": ID})
        return True
    if running >= SLOTS:
        tell("full", attempt)
        http1.respond(writer, 503, headers=echo | {"X-Eelgrassgap-Not-Executed": "1"})
        return True
    after = int(request.headers.get("last-event-id", 0))
    tell("got", attempt, after)
    running += 1
    try:
        seal = {"X-Eelgrassgap-Response-Seal": f"{ID}.{attempt}", "Content-Type": "text/event-stream"}
        writer.write(http1.head(200, echo | seal | {"Transfer-Encoding": "chunked"}))
        await asyncio.sleep(FIRST_MS / 1000)
        for number in range(after + 1, EVENTS + 1):
            event = f"id: {number}\ndata: word{number} by {VERSION}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(GAP_MS / 1000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        tell("end", attempt)
    finally:
        running -= 1
    return True


async def main():
    server, _ = await http1.serve(handle, PORT)

    def crash():
        server.close()
        os._exit(1)

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, crash)
    tell("ready")
    await server.serve_forever()


asyncio.run(main())
