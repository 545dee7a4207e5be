"""Tests of the change log."""

import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.state import store
from amaranthpulley.state.forwarding import change_log

KEYS = ("a", "b", "c")


def _change(key: str, revision: int, value: bytes | None = b"v") -> store.Change:
    return store.Change(key, revision, value)


class ChangeLogTest(unittest.TestCase):
    """Changes that are added and the excerpts returned."""

    def test_only_newer_changes_are_added(self) -> None:
        log = change_log.ChangeLog()
        cases = [(5, True), (5, False), (4, False), (6, True)]
        for revision, is_added in cases:
            with self.subTest(revision):
                self.assertIs(log.add(_change("a", revision)), is_added)

    def test_an_excerpt_holds_the_latest_change_of_each_key(self) -> None:
        log = change_log.ChangeLog()
        for change in (_change("a", 1), _change("b", 2), _change("a", 3, None)):
            log.add(change)
        log.advance(3)
        excerpt = log.after(1)
        found = [(change.key, change.value) for change in excerpt.changes]
        self.assertEqual(found, [("b", b"v"), ("a", None)])
        self.assertFalse(excerpt.complete)
        everything = log.after(0)
        self.assertTrue(everything.complete)
        self.assertEqual([change.key for change in everything.changes], ["b"])

    def test_a_newer_item_on_a_later_page_does_not_advance_the_revision(self) -> None:
        log = change_log.ChangeLog()
        # The listing started at revision 5; a later page held an item of revision 9.
        log.add(_change("z", 9))
        log.advance(5)
        self.assertEqual(log.revision, 5)

    def test_keys_missing_from_a_listing_are_deleted(self) -> None:
        log = change_log.ChangeLog()
        for change in (_change("a", 1), _change("b", 2), _change("c", 9)):
            log.add(change)
        missing = log.missing_from(["b"], 5)
        # "c" was written after the listing.
        self.assertEqual([(c.key, c.value) for c in missing], [("a", None)])

    def test_a_reader_behind_discarded_deletions_gets_all_keys(self) -> None:
        log = change_log.ChangeLog()
        for number in range(change_log.MAXIMUM_DELETIONS + 2):
            log.add(_change(f"k{number}", 2 * number + 1))
            log.add(_change(f"k{number}", 2 * number + 2, None))
        log.add(_change("kept", 100_000))
        log.advance(100_000)
        excerpt = log.after(10)
        self.assertTrue(excerpt.complete)
        self.assertEqual([change.key for change in excerpt.changes], ["kept"])

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.sampled_from(KEYS), strategies.booleans()),
            max_size=30,
        ),
        strategies.randoms(use_true_random=False),
        strategies.integers(0, 30),
    )
    def test_two_logs_agree_for_any_order_of_arrival(
        self, written: list[tuple[str, bool]], random: object, known_count: int
    ) -> None:
        changes = [
            _change(key, revision, b"%d" % revision if exists else None)
            for revision, (key, exists) in enumerate(written, start=1)
        ]
        first, second = change_log.ChangeLog(), change_log.ChangeLog()
        for change in changes:
            first.add(change)
        for change in changes[:known_count]:
            second.add(change)
            second.advance(change.revision)
        excerpt = list(first.after(second.revision).changes)
        random.shuffle(excerpt)
        for change in excerpt:
            second.add(change)
        expected = {c.key: c.value for c in first.after(0).changes}
        self.assertEqual({c.key: c.value for c in second.after(0).changes}, expected)


class RestartTest(unittest.TestCase):
    """A daemon that has restarted and follows watchers that lag behind the store."""

    OPERATIONS = strategies.lists(
        strategies.tuples(strategies.sampled_from(KEYS), strategies.booleans()),
        min_size=1,
        max_size=30,
    )

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(OPERATIONS, strategies.data())
    def test_nothing_that_was_deleted_before_its_listing_comes_back(
        self, operations: list[tuple[str, bool]], data: strategies.DataObject
    ) -> None:
        history = [
            _change(key, revision, b"v" if is_write else None)
            for revision, (key, is_write) in enumerate(operations, 1)
        ]
        last = len(history)
        latest = {change.key: change for change in history}
        log = change_log.ChangeLog()
        for change in latest.values():
            if change.value is not None:
                log.add(change)
        log.advance(last)
        for _ in range(3):
            watcher = change_log.ChangeLog()
            known = data.draw(strategies.integers(0, last))
            for change in history[:known]:
                watcher.add(change)
            watcher.advance(known)
            excerpt = watcher.after(log.revision)
            for change in excerpt.changes:
                log.add(change)
            log.advance(excerpt.revision)
        live = {change.key for change in log.after(0).changes}
        expected = {key for key, change in latest.items() if change.value is not None}
        self.assertEqual(live, expected)


class RestoredStoreTest(unittest.TestCase):
    """Changes of a store that has come back from a copy."""

    def setUp(self) -> None:
        self.log = change_log.ChangeLog()

    def _add(self, era: int, key: str, number: int, value: bytes | None) -> bool:
        revision = store.revision_in(era, number)
        self.log.advance(revision)
        return self.log.add(store.Change(key, revision, value))

    def _kept(self, *items: tuple[str, int, bytes]) -> list[str]:
        """Return the keys that count of a listing in the second era."""
        listed = [
            store.Change(key, store.revision_in(2, number), value)
            for key, number, value in items
        ]
        return [change.key for change in self.log.without_superseded(listed)]

    def test_revisions_rise_over_eras(self) -> None:
        revision = store.revision_in(3, 70)
        self.assertGreater(revision, store.revision_in(2, 9_000_000))
        self.assertEqual((store.era_of(revision), store.number_of(revision)), (3, 70))

    def test_a_write_under_a_number_given_out_again_is_new(self) -> None:
        self._add(1, "a", 90, b"1")
        self.assertTrue(self._add(2, "a", 85, b"2"))

    def test_an_item_that_was_restored_unchanged_is_not_new(self) -> None:
        self._add(1, "a", 70, b"1")
        self.assertFalse(self._add(2, "a", 70, b"1"))
        self.assertEqual(self.log.after(store.revision_in(1, 99)).changes[0].key, "a")

    def test_items_that_are_older_than_the_known_ones_are_left_out(self) -> None:
        for number, value in ((70, b"1"), (75, b"2")):
            self._add(1, "changed", number, value)
        self._add(1, "same", 72, b"s")
        self._add(1, "deleted", 60, b"d")
        self._add(1, "deleted", 76, None)
        self._add(1, "listed late", 77, b"n")
        kept = self._kept(
            ("changed", 70, b"1"),
            ("same", 72, b"s"),
            ("deleted", 60, b"d"),
            ("listed late", 50, b"o"),
        )
        self.assertEqual(kept, ["same"])

    def test_the_last_write_before_the_copy_is_recognised(self) -> None:
        for number, value in ((70, b"1"), (75, b"2"), (80, None)):
            self._add(1, "a", number, value)
        self.assertEqual(self._kept(("a", 70, b"1")), [])

    def test_what_was_written_after_the_return_counts(self) -> None:
        self._add(1, "same", 72, b"s")
        for number, value in ((70, b"1"), (75, b"2")):
            self._add(1, "a", number, value)
        kept = self._kept(("same", 72, b"s"), ("a", 74, b"3"), ("new", 75, b"n"))
        self.assertEqual(kept, ["same", "a", "new"])
