"""A TCP proxy whose open connections can go silent for good while new ones work."""

import asyncio


class Proxy:
    def __init__(self, port):
        self.target, self.port, self.connections = port, None, []

    async def start(self):
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def silence(self):
        """Nothing passes on the connections that are open now, in either direction, and none of them is closed."""
        for connection in self.connections:
            connection["silent"] = True
        return len(self.connections)

    async def on_connection(self, reader, writer):
        connection = {"silent": False}
        connection["task"] = asyncio.current_task()
        self.connections.append(connection)
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
            await asyncio.gather(self.pass_on(connection, reader, far_writer),
                                 self.pass_on(connection, far_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.remove(connection)
            writer.close()

    async def pass_on(self, connection, reader, writer):
        while data := await reader.read(65536):
            if not connection["silent"]:
                writer.write(data)
                await writer.drain()
        if not connection["silent"]:
            writer.close()
