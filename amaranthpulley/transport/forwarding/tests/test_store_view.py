"""Tests of the copy of a store that loses its latest writes."""

import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination.forwarding import events
from amaranthpulley.state import store
from amaranthpulley.transport.forwarding import store_view

KEYS = ("a", "b", "c", "d")


class _ModelStore:
    """A store with a history and one copy, and who writes its keys again."""

    def __init__(self) -> None:
        self.era = 1
        self.number = 1
        self.items: dict[str, tuple[int, bytes]] = {}
        self.history: list[tuple[str, int, bytes | None]] = []
        self.copied = self._state()
        # What the writers hold: they write it again after a return.
        self.wanted: dict[str, bytes] = {}

    def _state(self) -> tuple:
        return self.number, dict(self.items), list(self.history)

    def write(self, key: str, value: bytes | None) -> None:
        self.number += 1
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (self.number, value)
        self.history.append((key, self.number, value))

    def copy(self) -> None:
        self.copied = self._state()

    def restore(self) -> None:
        self.number, items, history = self.copied
        self.items, self.history = dict(items), list(history)
        self.era += 1

    def write_again(self) -> None:
        for key in KEYS:
            held = self.items.get(key, (0, None))[1]
            if held != self.wanted.get(key):
                self.write(key, self.wanted.get(key))

    def listing(self) -> store_view.Listing:
        changes = tuple(
            store.Change(key, store.revision_in(self.era, number), value)
            for key, (number, value) in self.items.items()
        )
        return store_view.Listing(changes, store.revision_in(self.era, self.number))


class _Reader:
    """A daemon's view of the model store, and the values that its events gave it."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.restorations = 0
        self.view = store_view.StoreView(lambda change: change, self._handle)

    def _handle(self, event: object) -> None:
        if isinstance(event, events.StoreRestored):
            self.restorations += 1
        elif isinstance(event, store.Change):
            if event.value is None:
                self.values.pop(event.key, None)
            else:
                self.values[event.key] = event.value

    def read(self, model: _ModelStore) -> None:
        """Read what a watch would give, or list the store where it gives nothing."""
        known = self.view.revision
        if store.era_of(known) != model.era:
            listing = model.listing()
            if self.view.is_restored(listing.revision):
                self.view.apply_restored_listing(listing)
            else:
                self.view.apply_listing(listing)
            return
        changes = [
            store.Change(key, store.revision_in(model.era, number), value)
            for key, number, value in model.history
            if number > store.number_of(known)
        ]
        following = store.revision_in(model.era, model.number)
        self.view.apply(changes, following)

    def follow(self, other: "_Reader") -> None:
        """Read what another daemon passes on."""
        excerpt = other.view.after(self.view.revision)
        self.view.apply(excerpt.changes, excerpt.revision)


class RestoredViewTest(unittest.TestCase):
    """A watcher and a follower over random writes, copies and returns."""

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=300
    )
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.tuples(
                    strategies.sampled_from(("write", "delete")),
                    strategies.sampled_from(KEYS),
                ),
                strategies.tuples(
                    strategies.sampled_from(("read", "read", "copy", "restore")),
                    strategies.just(""),
                ),
            ),
            max_size=40,
        )
    )
    def test_no_known_value_goes_back(self, steps: list[tuple[str, str]]) -> None:
        model, watcher, follower = _ModelStore(), _Reader(), _Reader()
        model.copy()
        watcher.read(model)
        follower.view.apply_listing(model.listing())
        for serial, (step, key) in enumerate(steps):
            if step in ("write", "delete"):
                value = b"%d" % serial if step == "write" else None
                model.write(key, value)
                model.wanted.pop(key, None)
                if value is not None:
                    model.wanted[key] = value
            elif step == "copy":
                model.copy()
            elif step == "restore":
                watcher.read(model)
                before = dict(watcher.values)
                model.restore()
                watcher.read(model)
                self.assertEqual(watcher.values, before)
                model.write_again()
            else:
                watcher.read(model)
                follower.follow(watcher)
        watcher.read(model)
        watcher.read(model)
        watcher.view.apply_listing(model.listing())
        follower.follow(watcher)
        self.assertEqual(watcher.values, model.wanted)
        self.assertEqual(follower.values, model.wanted)
        self.assertEqual(watcher.restorations, model.era - 1)
