"""Steps for the merged time line of many processes."""

import contextlib
import io
import pathlib
import tempfile

import behave
from behave import runner

from amaranthpulley import cli
from amaranthpulley.coordination import commands
from amaranthpulley.state import clock, hybrid_clock, log_events
from amaranthpulley.transport import log_sink

TRACEBACK = "Traceback (most recent call last):\n  File\nValueError: x\n"


class TimelineSubject:
    """Log files in a folder, and the output of the command on them."""

    def __init__(self, folder: str) -> None:
        self.folder = pathlib.Path(folder)
        self.code = 0
        self.output = ""
        self.errors = ""

    def path(self, name: str) -> str:
        """Return the path of a file in the folder."""
        return str(self.folder / name)

    def send_message(self, sender: str, receiver: str, skew_ms: int) -> None:
        """Write the events of a message from one process to another."""
        now = clock.VirtualClock(10_000_000)
        stamps = {name: hybrid_clock.HybridClock() for name in (sender, receiver)}
        self._write(sender, now.as_clock(), stamps[sender], ticket=1)
        carried = stamps[sender].tick(now.as_clock().wall_ms())
        skewed = clock.VirtualClock(10_000_000 + skew_ms).as_clock()
        stamps[receiver].observe(carried, skewed.wall_ms())
        self._write(receiver, skewed, stamps[receiver], ticket=2)

    def run(self, *arguments: str) -> None:
        """Run ``amaranthpulley timeline`` and store its result."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            self.code = cli.main(["timeline", *arguments])
        self.output, self.errors = out.getvalue(), err.getvalue()

    def _write(
        self,
        name: str,
        now: clock.Clock,
        stamps: hybrid_clock.HybridClock,
        ticket: int,
    ) -> None:
        write = log_sink.open_log(
            name,
            now,
            self.path(name),
            log_events.Level.INFO,
            stamps,
            log_sink.RecentEvents(),
        )
        write(commands.log(log_events.TICKET_IN_FORCE, ticket=ticket))


def _subject(context: runner.Context) -> TimelineSubject:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return TimelineSubject(folder.name)


@behave.given(
    '"{sender}" sends a message to "{receiver}" whose clock is {skew:d} ms off'
)
def step_impl(context: runner.Context, sender: str, receiver: str, skew: int) -> None:
    context.subject = _subject(context)
    context.subject.send_message(sender, receiver, skew)


@behave.when("the operator merges both log files")
def step_impl(context: runner.Context) -> None:
    subject = context.subject
    subject.run("--log", subject.path("vm-2"), "--log", subject.path("vm-1"))


@behave.when("the operator merges both log files and {source}")
def step_impl(context: runner.Context, source: str) -> None:
    subject = context.subject
    broken = subject.folder / "broken"
    broken.write_text(TRACEBACK)
    further = {
        "a file with a traceback": ("--log", str(broken)),
        "a file that is missing": ("--log", subject.path("missing")),
        "a port without a daemon": ("--admin", "127.0.0.1:1"),
        "the first file again": ("--log", subject.path("vm-1")),
    }
    logs = ("--log", subject.path("vm-2"), "--log", subject.path("vm-1"))
    subject.run(*logs, *further[source])


@behave.when("the operator asks for a time line without a source")
def step_impl(context: runner.Context) -> None:
    context.subject = _subject(context)
    context.subject.run()


@behave.then('"{first}" precedes "{second}" in the time line')
def step_impl(context: runner.Context, first: str, second: str) -> None:
    processes = [line.split()[1] for line in context.subject.output.splitlines()]
    assert processes == [first, second], context.subject.output


@behave.then("the time line command exits with code {code:d}")
def step_impl(context: runner.Context, code: int) -> None:
    assert context.subject.code == code, context.subject.errors


@behave.then("{count:d} events are shown")
def step_impl(context: runner.Context, count: int) -> None:
    assert len(context.subject.output.splitlines()) == count, context.subject.output


@behave.then('the time line command reports "{message}"')
def step_impl(context: runner.Context, message: str) -> None:
    assert message in context.subject.errors, context.subject.errors


@behave.then('the time line command reports ""')
def step_impl(context: runner.Context) -> None:
    assert not context.subject.errors, context.subject.errors
