"""A refused HEAD request leaves bytes on the connection that are no answer."""

import asyncio
import pathlib
import sys
from typing import Final

from standins import leaf, site

DAEMONS: Final = 3
SERVICE: Final = "portal"
CLIENTS: Final = 12
INTERVAL_S: Final = 0.25
BEFORE_S: Final = 4.0
# The small site file's days of this kind: all servers of a service for 4.5 s to 5.2 s.
CRASH_S: Final = 4.5
# Entries are removed after three heartbeats of silence.
LAPSE_S: Final = 3.6
AFTER_S: Final = 4.0
DEADLINE_MS: Final = 2_000
ANSWER_TIMEOUT_S: Final = 3.0


async def play(place: site.Site) -> bool:
    """Send HEAD and GET requests by turns while all leaves are down for a while."""
    await place.start(DAEMONS)
    for zone in site.ZONES:
        await place.add_leaf(leaf.Leaf(f"i-{zone}", SERVICE, zone))
    await place.configure(site.route("portal", "/portal/", Service=SERVICE))
    await place.wait_until_ready()
    broken: list[str] = []
    clients = [
        asyncio.create_task(_send_requests(place, number, broken))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(BEFORE_S)
    if place.troubled:
        await _crash_leaves(place)
    else:
        await asyncio.sleep(CRASH_S)
    await asyncio.sleep(AFTER_S)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    place.note(f"{len(broken)} times a client got bytes that are no answer")
    return bool(broken)


async def _crash_leaves(place: site.Site) -> None:
    crashed, place.leaves = place.leaves, []
    for target in crashed:
        target.crash()
    place.note("all leaves have crashed")
    await asyncio.sleep(LAPSE_S)
    for target in crashed:
        await place.store.delete(f"servers/{target.leaf_id}")
    await asyncio.sleep(CRASH_S - LAPSE_S)
    for zone in site.ZONES:
        await place.add_leaf(leaf.Leaf(f"i-again-{zone}", SERVICE, zone))


async def _send_requests(place: site.Site, number: int, broken: list[str]) -> None:
    daemon = place.daemons[number % DAEMONS]
    await asyncio.sleep(INTERVAL_S * number / CLIENTS)
    count = 0
    while True:
        host, _, port = daemon.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            while True:
                for method in ("HEAD", "GET"):
                    count += 1
                    name = f"r-{number}-{count}"
                    got = await _request(reader, writer, method, name)
                    place.note(f"{name} {method} on a kept connection: {got}")
                    if not got.startswith("HTTP/1.1 "):
                        broken.append(name)
                        raise ConnectionError
                    await asyncio.sleep(INTERVAL_S)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            writer.close()


async def _request(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    method: str,
    name: str,
) -> str:
    """Send a request and read its answer; return the first line that came."""
    lines = [
        f"{method} /portal/visita HTTP/1.1",
        f"Host: {site.HOST}",
        f"X-Request-Id: {name}",
        f"X-Deadline-Ms: {DEADLINE_MS}",
    ]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        first = (await reader.readline()).decode("latin-1").strip()
        if not first.startswith("HTTP/1.1 "):
            return first
        length = 0
        while header := (await reader.readline()).strip():
            key, _, value = header.decode("latin-1").lower().partition(":")
            length = int(value) if key == "content-length" else length
        # An answer to HEAD has no body, whatever its Content-Length says.
        if method != "HEAD":
            await reader.readexactly(length)
    return first


if __name__ == "__main__":
    sys.exit(site.run_case(play, pathlib.Path(__file__).resolve().parent))
