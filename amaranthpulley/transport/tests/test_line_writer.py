"""Tests of the writer of log lines."""

import os
import unittest

from amaranthpulley.transport import line_writer


class LineWriterTest(unittest.TestCase):
    """Log lines for readers that keep up, stall or have closed the pipe."""

    def setUp(self) -> None:
        self.reader, descriptor = os.pipe()
        self.addCleanup(os.close, descriptor)
        os.set_blocking(self.reader, False)
        self.writer = line_writer.LineWriter(descriptor)

    def _read_all(self) -> bytes:
        parts = []
        while True:
            try:
                parts.append(os.read(self.reader, 1_000_000))
            except BlockingIOError:
                return b"".join(parts)

    def test_lines_are_written_in_order(self) -> None:
        for number in range(500):
            self.writer.write(b"line %d" % number)
        self.writer.flush()
        expected = b"".join(b"line %d\n" % number for number in range(500))
        self.assertEqual(self._read_all(), expected)
        os.close(self.reader)

    def test_stalled_reader_does_not_block_and_gets_whole_lines(self) -> None:
        line = b"x" * 999
        sent = 1_000
        for _ in range(sent):
            self.writer.write(line)
            self.writer.flush()
        self.assertGreater(self.writer.dropped, 0)
        read = b""
        while data := self._read_all():
            read += data
            self.writer.flush()
        lines = read.split(b"\n")
        self.assertEqual(lines.pop(), b"")
        self.assertEqual(set(lines), {line})
        self.assertEqual(len(lines) + self.writer.dropped, sent)
        os.close(self.reader)

    def test_closed_reader_raises_no_error(self) -> None:
        os.close(self.reader)
        self.writer.write(b"line")
        self.writer.flush()
        self.assertEqual(self.writer.dropped, 0)
