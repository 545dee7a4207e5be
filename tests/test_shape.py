"""Tests that the structure rules find violations and the source tree has none."""

import pathlib
import unittest
from typing import Final, NamedTuple

from tests import shape_rules

_ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
_STATE: Final = "amaranthpulley/state/example.py"
_TRANSPORT: Final = "amaranthpulley/transport/example.py"
_TEST: Final = "tests/test_example.py"


class _Case(NamedTuple):
    path: str
    code: str
    message: str


def _function(lines: int) -> str:
    return "def f() -> None:\n" + "    pass\n" * (lines - 1)


_VIOLATIONS: Final = (
    _Case(_STATE, "from tests.shape_rules import check_tree", "imports the name"),
    _Case(_TEST, "from .shape_rules import check_tree", "imports the name"),
    _Case(_TRANSPORT, "from urllib3 import PoolManager", "imports the name"),
    _Case(_TRANSPORT, "import threading", "one loop"),
    _Case(_TRANSPORT, "import multiprocessing.pool", "one loop"),
    _Case(_TRANSPORT, "from concurrent import futures", "one loop"),
    _Case(_TRANSPORT, "def f():\n    import subprocess", "one loop"),
    _Case(_STATE, "import abc\nclass A(abc.ABC): pass", "behaviour varies"),
    _Case(_STATE, "class A(metaclass=abc.ABCMeta): pass", "behaviour varies"),
    _Case(_TRANSPORT, "class A(Protocol[T]): pass", "behaviour varies"),
    _Case(_TEST, "class A(typing.Protocol): pass", "behaviour varies"),
    _Case(_STATE, "@dataclasses.dataclass(slots=True)\nclass A: pass", "data is"),
    _Case(_STATE, "class A(msgspec.Struct): pass", "data is"),
    _Case(_TRANSPORT, "class A(pydantic.BaseModel): pass", "data is"),
    _Case(_STATE, "class A(dict): pass", "has the base dict"),
    _Case(_STATE, "class Table(OtherTable): pass", "has the base OtherTable"),
    _Case(_STATE, _function(41), "has 41 lines"),
    _Case(_STATE, "\n" * 400, "file has 401 lines"),
    _Case(_TEST, "def test_it(): pass", "outside a class"),
    _Case(_TRANSPORT, "PATH = '" + "/ho" + "me/user/x'", "path of one machine"),
)

_PERMITTED: Final = (
    _Case(_STATE, "from collections.abc import Iterable", ""),
    _Case(_STATE, "from typing import NamedTuple, TypedDict", ""),
    _Case(_TEST, "from tests import shape_rules", ""),
    _Case(_TEST, "from . import shape_rules", ""),
    _Case(_TRANSPORT, "from eventlet import wsgi", ""),
    _Case(_TEST, "import subprocess", ""),
    _Case(_STATE, "class A(NamedTuple): pass", ""),
    _Case(_STATE, "class A(TypedDict, total=False): pass", ""),
    _Case(_STATE, "class A(enum.Enum): pass", ""),
    _Case(_STATE, "class A(enum.StrEnum): pass", ""),
    _Case(_STATE, "class OrderError(errors.StateError): pass", ""),
    _Case(_STATE, "class Table: pass", ""),
    _Case(_STATE, _function(40), ""),
    _Case(_TRANSPORT, "PATH = '/v1/search'", ""),
)


def _messages(case: _Case) -> list[str]:
    text = f'"""Docstring."""; {case.code}'
    if case.code.startswith(("@", "class", "def", "\n")):
        text = f'"""Docstring."""\n{case.code}'
    path = pathlib.PurePosixPath(case.path)
    return [found.message for found in shape_rules.check_text(_ROOT, path, text)]


class ShapeTest(unittest.TestCase):
    def test_violations_are_found(self) -> None:
        for case in _VIOLATIONS:
            with self.subTest(path=case.path, code=case.code[:60]):
                messages = _messages(case)
                self.assertEqual(len(messages), 1, messages)
                self.assertIn(case.message, messages[0])

    def test_permitted_code_passes(self) -> None:
        for case in _PERMITTED:
            with self.subTest(path=case.path, code=case.code[:60]):
                self.assertEqual(_messages(case), [])

    def test_missing_docstring_is_found(self) -> None:
        path = pathlib.PurePosixPath(_STATE)
        found = shape_rules.check_text(_ROOT, path, "X = 1\n")
        expected = [shape_rules.Violation(path, 1, "module without a docstring")]
        self.assertEqual(found, expected)

    def test_tree_is_clean(self) -> None:
        found = shape_rules.check_tree(_ROOT)
        lines = [f"{found.path}:{found.line}: {found.message}" for found in found]
        self.assertEqual(lines, [])
