"""amaranthpulley: a query tier between callers and many shards.

Usage:
  amaranthpulley daemon --settings FILE
  amaranthpulley forward
  amaranthpulley leaf [--address ADDRESS] [--shard NUMBER] [--shards COUNT]
                      [--count COUNT]
  amaranthpulley store [--address ADDRESS]
  amaranthpulley demo
  amaranthpulley bench [--only NAME] [--seed N] [--out DIR] [--quick]
                       [--leaves DIR] [--revision TEXT]
  amaranthpulley settings check FILE
  amaranthpulley configuration check FILE [--in-force FILE] [--regions NAMES]
                                     [--json]
  amaranthpulley ticket apply FILE (--settings FILE | --store ADDRESS)
  amaranthpulley ticket show (--settings FILE | --store ADDRESS)
  amaranthpulley ticket status NUMBER (--settings FILE | --store ADDRESS)
                          [--admin ADDRESS]...
  amaranthpulley customer export CUSTOMER --from TIME --to TIME
                          (--out FILE --store ADDRESS)
  amaranthpulley timeline [--log FILE]... [--admin ADDRESS]... [--request ID]
                          [--target NAME] [--domain NAME] [--ticket NUMBER]
                          [--from TIME] [--to TIME] [--picture FILE]
  amaranthpulley trace [--request ID] [--sample N] LOG...
  amaranthpulley status --admin ADDRESS
  amaranthpulley version
  amaranthpulley --help

`trace` says of every request that went wrong why it did, from the logs of daemons.
`forward` finds the settings file that the users' platform gives it; see the page on
operations.

Options:
  --settings FILE    The daemon's settings in JSON.
  --address ADDRESS  IP:port to listen on; port 0 takes a free one
                     [default: 127.0.0.1:0].
  --shard NUMBER     Which shard the stand-in leaf holds, from 0 [default: 0].
  --shards COUNT     How many shards there are [default: 1].
  --count COUNT      How many leaves to serve, with consecutive shards [default: 1].
  --only NAME        Run this experiment alone.
  --seed N           Decides all chance of an experiment [default: 1].
  --from TIME        Requests, or events, from this time on, in ISO 8601.
  --to TIME          Requests, or events, before this time.
  --store ADDRESS    IP:port of the platform's store.
  --log FILE         A log file with events; may be given more than once.
  --admin ADDRESS    IP:port of a daemon's admin port; for the time line and for
                     tickets it may be given more than once.
  --request ID       Only the events of this request.
  --sample N         Show N requests with their causes, evenly spread [default: 0].
  --target NAME      Only the events of this target.
  --domain NAME      Only the events of targets in this failure domain.
  --ticket NUMBER    Only the events of this change ticket.
  --in-force FILE    Also compare with this version of the configuration.
  --regions NAMES    Names of all regions that have machines, separated by commas.
  --json             Print one JSON object.
  --picture FILE     Also draw the time line, as SVG.
  --out DIR          Write the rows as JSON lines, and plots, into this folder.
  --quick            Small sizes, to try the tool out.
  --leaves DIR       Where the files with the addresses of running leaves are.
  --revision TEXT    Revision of the source, noted with the rows [default: ].
  --help             Show this text.

Exit codes:
  0  success
  1  the work could not be done, or the checked configuration has errors
  2  wrong usage, settings or input, or a refused ticket; nothing was started or
     written
  78 the archive cannot be unpacked; see SHIV_ROOT in the README
"""

import sys
from collections.abc import Callable
from typing import Any, Final

import docopt

import amaranthpulley
from amaranthpulley.protocol import errors as protocol_errors
from amaranthpulley.protocol import settings as settings_protocol
from amaranthpulley.transport import errors, iso_times, loop

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2

Arguments = dict[str, Any]


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code.

    Parameters
    ----------
    argv : list of str or None
        The command-line arguments; None uses those of the process.
    """
    words = sys.argv[1:] if argv is None else argv
    try:
        arguments = docopt.docopt(__doc__, words, version=amaranthpulley.__version__)
    except docopt.DocoptExit as error:
        print(error.usage, file=sys.stderr)
        return EXIT_USAGE
    except SystemExit:
        return EXIT_OK
    run = next(command for name, command in _COMMANDS.items() if arguments[name])
    try:
        return run(arguments)
    except (
        protocol_errors.InvalidSettingsError,
        protocol_errors.InvalidTicketError,
    ) as error:
        return _fail(error, EXIT_USAGE)
    except errors.InvalidTimeError as error:
        return _fail(error, EXIT_USAGE)
    except errors.TransportError as error:
        return _fail(error, EXIT_FAILED)


def _show(line: str) -> None:
    # Flushed because programs that read from a pipe wait for single lines, such as the
    # address of a server.
    print(line, flush=True)


def _fail(error: Exception, code: int) -> int:
    print(f"amaranthpulley: {error}", file=sys.stderr)
    return code


def _run_daemon(arguments: Arguments) -> int:
    settings = settings_protocol.read(arguments["--settings"])
    loop.prepare_loop()
    from amaranthpulley.transport import daemon_process

    process = daemon_process.DaemonProcess(settings)
    process.drain_on_signals()
    return process.wait()


def _run_forward(arguments: Arguments) -> int:
    loop.prepare_loop()
    from amaranthpulley.platform import command

    return command.run()


def _run_leaf(arguments: Arguments) -> int:
    loop.prepare_loop()
    from amaranthpulley.transport.emulation import standin_processes

    return standin_processes.run_leaf(
        arguments["--address"],
        int(arguments["--shard"]),
        int(arguments["--shards"]),
        int(arguments["--count"]),
        _show,
    )


def _run_store(arguments: Arguments) -> int:
    loop.prepare_loop()
    from amaranthpulley.transport.emulation import standin_processes

    return standin_processes.run_store(arguments["--address"], _show)


def _run_demo(arguments: Arguments) -> int:
    loop.prepare_loop()
    from amaranthpulley.transport import demo

    return demo.run(_show)


def _run_bench(arguments: Arguments) -> int:
    loop.prepare_loop()
    from amaranthpulley.transport.bench import tool

    options = tool.Options(
        arguments["--only"],
        int(arguments["--seed"]),
        arguments["--out"],
        arguments["--quick"],
        arguments["--leaves"],
        arguments["--revision"] or "",
    )
    return tool.run(options, _show)


def _check_settings(arguments: Arguments) -> int:
    settings_protocol.read(arguments["FILE"])
    _show(f"{arguments['FILE']}: the settings are in order")
    return EXIT_OK


def _check_configuration(arguments: Arguments) -> int:
    from amaranthpulley.platform import configuration_command

    regions = arguments["--regions"]
    return configuration_command.check(
        arguments["FILE"],
        arguments["--in-force"],
        regions.split(",") if regions is not None else None,
        arguments["--json"],
        print,
        _show_problem,
    )


def _export_customer(arguments: Arguments) -> int:
    window = iso_times.parse_window(arguments["--from"], arguments["--to"])
    loop.prepare_loop()
    from amaranthpulley.transport import customer_export

    return customer_export.run_command(
        arguments["CUSTOMER"],
        window,
        arguments["--store"],
        arguments["--out"],
        print,
        lambda line: print(line, file=sys.stderr),
    )


def _show_timeline(arguments: Arguments) -> int:
    from amaranthpulley.transport import operator_commands, timeline

    if not arguments["--log"] and not arguments["--admin"]:
        print("give at least one --log or --admin", file=sys.stderr)
        return EXIT_USAGE
    times = (arguments["--from"], arguments["--to"])
    event_filter = timeline.Filter(
        arguments["--request"],
        arguments["--target"],
        arguments["--domain"],
        arguments["--ticket"],
        *(iso_times.parse_time(text) if text else None for text in times),
    )
    return operator_commands.show_timeline(
        arguments["--log"],
        arguments["--admin"],
        event_filter,
        arguments["--picture"],
        print,
        _show_problem,
    )


def _trace_failures(arguments: Arguments) -> int:
    from amaranthpulley.transport import failure_traces

    if not arguments["--sample"].isdecimal():
        _show_problem("N must be a number")
        return EXIT_USAGE
    files, request_id = arguments["LOG"], arguments["--request"]
    if request_id:
        done = failure_traces.show_request(files, request_id, _show)
    else:
        done = failure_traces.show_causes(files, int(arguments["--sample"]), _show)
    return EXIT_OK if done else EXIT_FAILED


def _show_status(arguments: Arguments) -> int:
    from amaranthpulley.transport import operator_commands

    # docopt returns a list for an option that any command may repeat.
    return operator_commands.show_status(arguments["--admin"][0], print)


def _run_ticket(arguments: Arguments) -> int:
    address, vm_list_address = arguments["--store"], None
    if address is None:
        settings = settings_protocol.read(arguments["--settings"])
        address = settings["platform"]["store_address"]
        vm_list_address = settings["platform"]["vm_list_address"]
    loop.prepare_loop()
    from amaranthpulley.transport import ticket_commands

    if arguments["apply"]:
        return ticket_commands.apply(arguments["FILE"], address, _show, vm_list_address)
    if arguments["show"]:
        return ticket_commands.show_all(address, _show)
    if not arguments["NUMBER"].isdecimal():
        _show_problem("NUMBER must be a number")
        return EXIT_USAGE
    number = int(arguments["NUMBER"])
    return ticket_commands.show_status(number, address, arguments["--admin"], _show)


def _show_problem(line: str) -> None:
    print(f"amaranthpulley: {line}", file=sys.stderr)


def _show_version(arguments: Arguments) -> int:
    _show(f"amaranthpulley {amaranthpulley.__version__}")
    return EXIT_OK


_COMMANDS: Final[dict[str, Callable[[Arguments], int]]] = {
    "ticket": _run_ticket,
    "daemon": _run_daemon,
    "forward": _run_forward,
    "leaf": _run_leaf,
    "store": _run_store,
    "demo": _run_demo,
    "bench": _run_bench,
    "settings": _check_settings,
    "configuration": _check_configuration,
    "customer": _export_customer,
    "timeline": _show_timeline,
    "trace": _trace_failures,
    "status": _show_status,
    "version": _show_version,
}
