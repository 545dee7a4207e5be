"""Non-blocking, batched writing of lines to a file descriptor."""

import collections
from typing import Final

import eventlet.patcher

# eventlet's `os.write` would wait until the descriptor is writable.
_os: Final = eventlet.patcher.original("os")

# Queue limit for a slow reader: a few seconds of the busiest log.
MAXIMUM_QUEUED_BYTES: Final = 262_144
# Size limit of one write: a pipe accepts up to 4096 bytes (PIPE_BUF) atomically.
_BATCH_BYTES: Final = 4_096


class LineWriter:
    """A queue of lines that drops new lines while it is full.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        _os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._unwritten = b""
        self.dropped = 0

    def write(self, line: bytes) -> None:
        """Queue a line, given without its line end, for the next `flush`."""
        if self._queued_bytes + len(line) > MAXIMUM_QUEUED_BYTES:
            self.dropped += 1
            return
        self._lines.append(line + b"\n")
        self._queued_bytes += len(line) + 1

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._pop_batch()
            try:
                written = _os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end; there is no other log for the error.
                self.dropped += len(self._lines)
                self._lines.clear()
                self._unwritten, self._queued_bytes = b"", 0
                return
            self._unwritten = self._unwritten[written:]

    def _pop_batch(self) -> bytes:
        batch = [self._lines.popleft()]
        size = len(batch[0])
        while self._lines and size + len(self._lines[0]) <= _BATCH_BYTES:
            batch.append(self._lines.popleft())
            size += len(batch[-1])
        self._queued_bytes -= size
        return b"".join(batch)
