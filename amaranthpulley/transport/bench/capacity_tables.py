"""Size and update time of a daemon's tables, by number of leaves and daemons."""

from typing import Final

from amaranthpulley.coordination import stored_values
from amaranthpulley.state import targets
from amaranthpulley.state.control import configuration, members, topology
from amaranthpulley.transport.bench import quantities

LEAVES: Final = (1_000, 5_000, 25_000, 75_000)
TARGET_LEAVES: Final = 75_000
DAEMONS: Final = (8, 64, 512, 4_096, 8_300)
TARGET_DAEMONS: Final = 8_300
CHANGES: Final = (10, 100, 1_000, 10_000)
TARGET_CHANGES: Final = 18_000
CHANGED_LEAVES: Final = 10_000
SHARDS: Final = 81
FAILURE_DOMAINS: Final = 10
LOOKED_UP_KEYS: Final = 100


def target(
    number: int, service: str = "stock", shards: int = SHARDS
) -> topology.Target:
    """Return the numbered target of a service with as many instances as needed."""
    instance, shard = divmod(number, shards)
    return topology.Target(
        f"{service}-{instance}-{shard}",
        service,
        instance,
        f"shard-{shard}",
        f"domain-{instance % FAILURE_DOMAINS}",
        f"10.{instance >> 8}.{instance & 255}.{shard}:7000",
        connections=35,
    )


def ticket(leaves: int, number: int = 1) -> topology.ChangeTicket:
    """Return a ticket that defines a service and all its leaves."""
    return topology.ChangeTicket(
        number,
        services=(topology.Service("stock", topology.ServiceKind.SEARCH),),
        targets=tuple(target(index) for index in range(leaves)),
    )


def _configured(leaves: int) -> configuration.Configuration:
    configured = configuration.Configuration()
    configured.apply(ticket(leaves))
    return configured


def _known_targets(leaves: int) -> targets.TargetTable:
    table = targets.TargetTable()
    for index in range(leaves):
        load = targets.TargetLoad(f"boot-{index}", index % 2, (6, 7))
        table.report(f"stock-{index}", load)
    return table


def _member_table(daemons: int) -> members.MemberTable:
    vms = [vm(number) for number in range(daemons)]
    table = members.MemberTable(vms[0])
    table.replace(vms)
    return table


def vm(number: int) -> members.Vm:
    """Return the numbered VM."""
    domain = number % FAILURE_DOMAINS
    return members.Vm(
        f"vm-{number}",
        f"10.1.{number >> 8}.{number & 255}:7000",
        f"domain-{domain}",
        f"region-{domain % 4}",
    )


def _configuration_bytes(leaves: int, seed: int) -> float:
    return quantities.allocated_bytes(lambda: _configured(leaves))


def _target_table_bytes(leaves: int, seed: int) -> float:
    return quantities.allocated_bytes(lambda: _known_targets(leaves))


def _encoded_bytes(leaves: int, seed: int) -> float:
    return len(stored_values.encode_tickets((ticket(leaves),)))


def _apply_ms(leaves: int, seed: int) -> float:
    return quantities.minimum_cpu_ms(
        lambda: stored_values.encode_tickets((ticket(leaves),)),
        lambda value: _decode_and_apply(configuration.Configuration(), value),
    )


def _change_ms(changes: int, seed: int) -> float:
    values = [
        stored_values.encode_tickets(
            (topology.ChangeTicket(number + 2, targets=(target(number),)),)
        )
        for number in range(changes)
    ]

    def apply(configured: configuration.Configuration) -> None:
        for value in values:
            _decode_and_apply(configured, value)

    return quantities.minimum_cpu_ms(lambda: _configured(CHANGED_LEAVES), apply)


def _decode_and_apply(configured: configuration.Configuration, value: bytes) -> None:
    for changed in stored_values.decode_tickets(value):
        configured.apply(changed)


def _member_bytes(daemons: int, seed: int) -> float:
    return quantities.allocated_bytes(lambda: _member_table(daemons))


def _owner_ms(daemons: int, seed: int) -> float:
    def look_up_owners(table: members.MemberTable) -> None:
        for key in range(LOOKED_UP_KEYS):
            table.owner_of(f"key-{key}")

    return (
        quantities.minimum_cpu_ms(lambda: _member_table(daemons), look_up_owners)
        / LOOKED_UP_KEYS
    )


QUANTITIES: Final = (
    quantities.Quantity(
        "configuration in memory",
        "bytes",
        "leaves",
        LEAVES,
        TARGET_LEAVES,
        _configuration_bytes,
    ),
    quantities.Quantity(
        "configuration on the wire",
        "bytes",
        "leaves",
        LEAVES,
        TARGET_LEAVES,
        _encoded_bytes,
    ),
    quantities.Quantity(
        "whole configuration decoded and merged",
        "cpu ms",
        "leaves",
        LEAVES,
        TARGET_LEAVES,
        _apply_ms,
    ),
    quantities.Quantity(
        "target table in memory",
        "bytes",
        "leaves",
        LEAVES,
        TARGET_LEAVES,
        _target_table_bytes,
    ),
    quantities.Quantity(
        "changes of one target decoded and merged",
        "cpu ms",
        "changes",
        CHANGES,
        TARGET_CHANGES,
        _change_ms,
    ),
    quantities.Quantity(
        "member table in memory",
        "bytes",
        "daemons",
        DAEMONS,
        TARGET_DAEMONS,
        _member_bytes,
    ),
    quantities.Quantity(
        "owner of a key among the daemons",
        "cpu ms",
        "daemons",
        DAEMONS,
        TARGET_DAEMONS,
        _owner_ms,
    ),
)
