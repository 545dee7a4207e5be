"""Tests of several complete daemons over real sockets on the loopback interface."""

import json
import pathlib
import tempfile
import unittest
from collections.abc import Callable

from amaranthpulley.transport import loop

loop.prepare_loop()

import eventlet  # noqa: E402
import msgspec  # noqa: E402

from amaranthpulley.coordination import events  # noqa: E402
from amaranthpulley.protocol import peer_codec, ticket_file  # noqa: E402
from amaranthpulley.state.control import members  # noqa: E402
from amaranthpulley.transport import (  # noqa: E402
    daemon_process,
    errors,
    peers,
    system_clock,
    ticket_commands,
)
from amaranthpulley.transport.emulation import standin_server  # noqa: E402
from amaranthpulley.transport.tests import control_site  # noqa: E402

DOMAINS = control_site.DOMAINS
WAIT_SECONDS = 20
LOOPBACK = "127.0.0.1"


class Fleet:
    """A stand-in platform and several daemons, all in this process."""

    def __init__(self, size: int) -> None:
        self.folder = tempfile.TemporaryDirectory()
        clock = system_clock.system_clock()
        self.platform = standin_server.PlatformServer(f"{LOOPBACK}:0", clock)
        self.daemons: list[daemon_process.DaemonProcess] = []
        for number in range(size):
            self._start(number)

    def _start(self, number: int) -> None:
        domain = DOMAINS[number % len(DOMAINS)]
        settings = {
            "vm_name": f"vm-{number}",
            "failure_domain": domain,
            "region": domain,
            "listen": {
                "ip": LOOPBACK,
                "caller_port": 0,
                "admin_port": 0,
                "peer_port": 0,
            },
            "platform": {
                "store_address": self.platform.address,
                "vm_list_address": self.platform.address,
            },
            "limits": {"drain_grace_ms": 100},
            "log_file": str(pathlib.Path(self.folder.name, f"vm-{number}.log")),
        }
        process = daemon_process.DaemonProcess(settings)
        identity = process.runtime.daemon.identity
        vm = members.Vm(identity.name, identity.address, domain, domain)
        self.platform.vms = (*self.platform.vms, vm)
        self.daemons.append(process)

    def states(self) -> list:
        """Return the states of all daemons."""
        return [process.runtime.daemon for process in self.daemons]

    def apply(self, ticket: object) -> tuple[int, list[str]]:
        """Run the command that applies a ticket; return its exit code and output."""
        path = pathlib.Path(self.folder.name, "ticket.json")
        path.write_bytes(ticket_file.encode(ticket))
        lines: list[str] = []
        code = ticket_commands.apply(
            str(path), self.platform.address, lines.append, self.platform.address
        )
        return code, lines

    def close(self) -> None:
        """Stop everything."""
        for process in self.daemons:
            process.close()
        self.platform.stop()
        self.folder.cleanup()


def wait_until(condition: Callable[[], bool]) -> bool:
    """Wait for a condition, at most `WAIT_SECONDS`; return whether it holds."""
    for _ in range(WAIT_SECONDS * 20):
        if condition():
            return True
        eventlet.sleep(0.05)
    return condition()


def _loopback_ticket() -> object:
    ticket = control_site.first_ticket()
    targets = tuple(
        target._replace(address=f"{LOOPBACK}:{9_000 + index}")
        for index, target in enumerate(ticket.targets)
    )
    return ticket._replace(targets=targets)


class DaemonsTest(unittest.TestCase):
    """Daemons that exchange messages with each other, the platform and operators."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet(4)

    @classmethod
    def tearDownClass(cls) -> None:
        cls.fleet.close()

    def test_1_each_daemon_lists_all_daemons(self) -> None:
        states = self.fleet.states()
        self.assertTrue(
            wait_until(lambda: all(len(s.members.live) == 4 for s in states))
        )

    def test_2_ticket_is_in_force_everywhere_and_status_shows_it(self) -> None:
        code, lines = self.fleet.apply(_loopback_ticket())
        self.assertEqual(code, 0, lines)
        self.assertEqual(sum("handed over to" in line for line in lines), 3, lines)
        states = self.fleet.states()
        self.assertTrue(
            wait_until(lambda: all(s.configuration.highest_number == 1 for s in states))
        )
        self.assertTrue(wait_until(lambda: all(s.ready for s in states)))
        addresses = [process.admin_address for process in self.fleet.daemons]
        output: list[str] = []
        code = ticket_commands.show_status(
            1, self.fleet.platform.address, addresses, output.append
        )
        self.assertEqual(code, 0, output)
        self.assertEqual(sum("in force since" in line for line in output), 4)

    def test_3_refusal_names_the_path_of_the_invalid_field(self) -> None:
        invalid = _loopback_ticket()._replace(number=0)
        code, [line] = self.fleet.apply(invalid)
        self.assertEqual(code, ticket_commands.EXIT_REFUSED)
        self.assertIn("at `$.number`", line)

    def test_4_shown_tickets_are_valid_ticket_files(self) -> None:
        lines: list[str] = []
        ticket_commands.show_all(self.fleet.platform.address, lines.append)
        self.assertEqual([json.loads(line)["number"] for line in lines], [1])
        self.assertEqual(len(ticket_file.decode(lines[0].encode()).targets), 6)

    def test_5_invalid_messages_are_refused_and_counted(self) -> None:
        state = self.fleet.states()[0]
        channels = peers.PeerChannels()
        unknown_version = msgspec.msgpack.encode((99, "Exchange", ()))
        too_large = b"x" * (peer_codec.MAXIMUM_MESSAGE_BYTES + 1)
        for message in (b"garbage", unknown_version, too_large):
            with self.assertRaises(errors.TransportError):
                channels.call(state.identity.address, message, 2_000)
        channels.close()
        for reason in ("malformed", "version", "too_large"):
            with self.subTest(reason):
                name = "peer_messages_refused_total"
                self.assertEqual(state.counters.total(name, reason=reason), 1)

    def test_6_drained_daemon_exits_and_peers_remove_it(self) -> None:
        drained, *others = self.fleet.daemons
        drained.runtime.feed(events.DrainRequested())
        with eventlet.Timeout(WAIT_SECONDS):
            self.assertEqual(drained.runtime.exit_code.wait(), 0)
        states = [process.runtime.daemon for process in others]
        self.assertTrue(
            wait_until(lambda: all(len(s.members.live) == 3 for s in states))
        )
