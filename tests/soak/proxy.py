"""Loopback proxies that delay, reset or silence connections, also one way only."""

import asyncio
import contextlib
import threading
from typing import Final

MODES: Final = ("pass", "delay", "reset", "silent", "no_answers", "no_requests")
DELAY_S: Final = 0.1


class Proxy:
    """Listens on a loopback address and forwards connections to a server.

    Parameters
    ----------
    target : str
        ``IP:port`` of the server.
    """

    def __init__(self, target: str) -> None:
        host, port = target.rsplit(":", 1)
        self._target = host, int(port)
        self.mode = "pass"
        self.address = ""
        self._connections: set[asyncio.StreamWriter] = set()

    def set_mode(self, mode: str, loop: asyncio.AbstractEventLoop) -> None:
        """Change how bytes are handled; ``reset`` also aborts open connections."""
        self.mode = mode
        if mode == "reset":
            loop.call_soon_threadsafe(self._reset_all)

    async def start(self) -> None:
        """Start listening."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def _reset_all(self) -> None:
        for writer in list(self._connections):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._connections |= {writer, upstream[1]}
        directions = (
            self._forward(reader, upstream[1], "no_requests"),
            self._forward(upstream[0], writer, "no_answers"),
        )
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*directions)
        self._connections -= {writer, upstream[1]}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dropping_mode: str,
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if self.mode == "delay":
                    await asyncio.sleep(DELAY_S)
                if self.mode not in ("silent", dropping_mode):
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, OSError):
            writer.transport.abort()
        else:
            writer.close()


class ProxyLoop:
    """The event loop of all proxies, in a separate thread."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def start_proxy(self, target: str) -> Proxy:
        """Start a proxy for a server's address."""
        proxy = Proxy(target)
        asyncio.run_coroutine_threadsafe(proxy.start(), self.loop).result(10)
        return proxy

    def close(self) -> None:
        """Cancel all proxies' tasks and stop the loop."""

        async def cancel_tasks() -> None:
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run_coroutine_threadsafe(cancel_tasks(), self.loop).result(10)
        self.loop.call_soon_threadsafe(self.loop.stop)
