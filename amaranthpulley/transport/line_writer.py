"""Lines to a file descriptor, in batches and without ever waiting for its reader."""

import collections
from typing import Final

import eventlet.patcher

# The loop's own `write` would wait for the reader.
_os: Final = eventlet.patcher.original("os")

# Bytes that wait for a reader who is behind: some seconds of the busiest log.
MAXIMUM_QUEUED_BYTES: Final = 262_144
# Bytes of one write; a pipe takes them whole or not at all.
_BATCH_BYTES: Final = 4_096


class LineWriter:
    """Writes lines and drops the newest ones while the reader is behind.

    Parameters
    ----------
    descriptor : int
        Where to write; it is made not to block.
    """

    def __init__(self, descriptor: int) -> None:
        _os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._rest = b""
        self.dropped = 0

    def write(self, line: bytes) -> None:
        """Take a line, without its end; `flush` writes it."""
        if self._waiting_bytes + len(line) > MAXIMUM_QUEUED_BYTES:
            self.dropped += 1
            return
        self._lines.append(line + b"\n")
        self._waiting_bytes += len(line) + 1

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._take_batch()
            try:
                written = _os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, and there is nowhere to say so.
                self.dropped += len(self._lines)
                self._lines.clear()
                self._rest, self._waiting_bytes = b"", 0
                return
            self._rest = self._rest[written:]

    def _take_batch(self) -> bytes:
        batch = [self._lines.popleft()]
        size = len(batch[0])
        while self._lines and size + len(self._lines[0]) <= _BATCH_BYTES:
            batch.append(self._lines.popleft())
            size += len(batch[-1])
        self._waiting_bytes -= size
        return b"".join(batch)
