"""Probes of suspected targets while no lease can be acquired.

A target that did not answer may have restarted and be cold, so that only the holder of
its lease may send to it. While the store grants no lease, every daemon waits until a
lease of another one must have ended; then they probe the target in turn, by rendezvous
rank. The last replica of a shard gets a single attempt sooner.
"""

from typing import Final

from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import rendezvous, targets
from amaranthpulley.state.control import topology

NO_LEASE_PROBE_DELAY_MS: Final = 6_000
NO_LEASE_PROBE_STEP_MS: Final = 1_000
# Waited for a lease before the last replica of a shard is tried without one, for each
# rank; a store that works grants a lease sooner.
LAST_REPLICA_STEP_MS: Final = 100


def lease_name(target: str) -> str:
    """Return the name of the lease whose holder may send to a cold target."""
    return f"cold/{target}"


def rank(daemon: daemon_state.Daemon, target: str) -> int:
    """Return this daemon's position among those that may probe a target."""
    names = [vm.name for vm in daemon.members.live]
    return rendezvous.ranking(names, lease_name(target)).index(daemon.identity.name)


def may_probe(
    daemon: daemon_state.Daemon,
    target: topology.Target,
    state: targets.TargetState,
    now_ms: int,
) -> bool:
    """Return whether to send to a cold target without its lease."""
    if not state.cold.suspected or now_ms < daemon.leases.valid_until_ms:
        return False
    if now_ms >= _probe_at_ms(daemon, target.name, state):
        return True
    return _may_try_last_replica(daemon, target, state, now_ms)


def _probe_at_ms(
    daemon: daemon_state.Daemon, target: str, state: targets.TargetState
) -> int:
    wait_ms = NO_LEASE_PROBE_DELAY_MS + rank(daemon, target) * NO_LEASE_PROBE_STEP_MS
    return state.cold.since_ms + wait_ms


def _may_try_last_replica(
    daemon: daemon_state.Daemon,
    target: topology.Target,
    state: targets.TargetState,
    now_ms: int,
) -> bool:
    """Return whether to send one attempt to a shard's last replica without a lease.

    An answer that was merely late is the usual cause of a suspicion, and without the
    last replica every search of the shard would be refused while the store is down.
    """
    if state.cold.failures or state.in_flight:
        return False
    step_ms = LAST_REPLICA_STEP_MS * (1 + rank(daemon, target.name))
    if now_ms < state.cold.since_ms + step_ms:
        return False
    shards = daemon.configuration.shards(target.service)
    return all(
        replica.name == target.name
        or daemon.targets.of(replica.name).cold is not None
        or not daemon.configuration.accepts_work(replica)
        for replica in shards.get(target.shard, {}).values()
    )
