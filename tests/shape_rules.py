"""Rules on the structure of the code, checked on each file's syntax tree."""

import ast
import pathlib
import re
from collections.abc import Callable, Iterator
from typing import Final, NamedTuple

_MAX_FILE_LINES: Final = 400
_MAX_FUNCTION_LINES: Final = 40

_NAME_IMPORTS: Final = frozenset({"__future__", "collections.abc", "typing"})
_CONCURRENCY: Final = frozenset(
    {"concurrent", "multiprocessing", "subprocess", "threading"}
)
_PURE_LAYERS: Final = frozenset({"coordination", "state"})
_BUILT_FOLDERS: Final = frozenset({"build", "dist", "target"})
_TEST_FOLDERS: Final = frozenset({"features", "tests"})
_BEHAVIOUR_BASES: Final = frozenset({"ABC", "ABCMeta", "Protocol"})
_RECORD_BASES: Final = frozenset({"BaseModel", "Struct"})
# Bases of data and error classes; a class that holds state has no base.
_PURE_BASES: Final = re.compile(
    r"NamedTuple|TypedDict|Generic|(Str|Int)?(Enum|Flag)|\w*(Error|Exception)"
)
_MACHINE_PATH: Final = re.compile(
    r"(?<![\w.~}])/(home|root|work|Users|mnt|srv|opt)/\w|/site[-]packages/"
)


class Violation(NamedTuple):
    """A place that breaks a rule."""

    path: pathlib.PurePosixPath
    line: int
    message: str


class _Source(NamedTuple):
    """A parsed file; `path` is relative to `root`."""

    root: pathlib.Path
    path: pathlib.PurePosixPath
    text: str
    tree: ast.Module


_Rule = Callable[[_Source], Iterator[tuple[int, str]]]


def _is_test(source: _Source) -> bool:
    return not _TEST_FOLDERS.isdisjoint(source.path.parts[:-1])


def _is_pure(source: _Source) -> bool:
    return not _is_test(source) and not _PURE_LAYERS.isdisjoint(source.path.parts)


def _base_name(node: ast.expr) -> str:
    return ast.unparse(node).split("[")[0].rpartition(".")[2]


def _is_own_module(source: _Source, node: ast.ImportFrom, name: str) -> bool | None:
    """Return whether `name` is a module; None for packages outside the root."""
    parts = (node.module or "").split(".") if node.module else []
    folder = source.root
    if node.level:
        folder = source.root.joinpath(*source.path.parts[: -node.level])
    elif not (source.root / parts[0]).is_dir():
        return None
    target = folder.joinpath(*parts, name)
    return target.is_dir() or target.with_suffix(".py").exists()


def _imports_modules(source: _Source) -> Iterator[tuple[int, str]]:
    for node in ast.walk(source.tree):
        if not isinstance(node, ast.ImportFrom) or node.module in _NAME_IMPORTS:
            continue
        for alias in node.names:
            is_module = _is_own_module(source, node, alias.name)
            if is_module is None:
                # Modules of libraries have lower-case names, their classes do not.
                is_module = alias.name.islower()
            if not is_module:
                yield node.lineno, f"imports the name {alias.name}, not its module"


def _imports_no_concurrency(source: _Source) -> Iterator[tuple[int, str]]:
    if _is_test(source):
        return
    for node in ast.walk(source.tree):
        names: list[str] = []
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and not node.level:
            names = [node.module or ""]
        for name in names:
            if name.split(".")[0] in _CONCURRENCY:
                yield node.lineno, f"imports {name}: one loop on one thread"


def _classes(source: _Source) -> Iterator[ast.ClassDef]:
    for node in ast.walk(source.tree):
        if isinstance(node, ast.ClassDef):
            yield node


def _classes_hold_state(source: _Source) -> Iterator[tuple[int, str]]:
    for node in _classes(source):
        keywords = [keyword.value for keyword in node.keywords]
        bases = {_base_name(base) for base in (*node.bases, *keywords)}
        if bases & _BEHAVIOUR_BASES:
            yield node.lineno, f"class {node.name}: behaviour varies by functions"
        decorators = [ast.unparse(decorator) for decorator in node.decorator_list]
        if bases & _RECORD_BASES or any("dataclass" in d for d in decorators):
            yield node.lineno, f"class {node.name}: data is NamedTuple or TypedDict"


def _pure_classes_have_plain_bases(source: _Source) -> Iterator[tuple[int, str]]:
    if not _is_pure(source):
        return
    for node in _classes(source):
        for base in node.bases:
            name = _base_name(base)
            reported = name in _BEHAVIOUR_BASES | _RECORD_BASES
            if not reported and not _PURE_BASES.fullmatch(name):
                yield node.lineno, f"class {node.name} has the base {name}"


def _has_docstring(source: _Source) -> Iterator[tuple[int, str]]:
    if not ast.get_docstring(source.tree):
        yield 1, "module without a docstring"


def _functions_are_short(source: _Source) -> Iterator[tuple[int, str]]:
    for node in ast.walk(source.tree):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            lines = (node.end_lineno or node.lineno) - node.lineno + 1
            if lines > _MAX_FUNCTION_LINES:
                yield node.lineno, f"function {node.name} has {lines} lines"


def _file_is_short(source: _Source) -> Iterator[tuple[int, str]]:
    lines = len(source.text.splitlines())
    if lines > _MAX_FILE_LINES:
        yield _MAX_FILE_LINES + 1, f"file has {lines} lines"


def _tests_are_in_classes(source: _Source) -> Iterator[tuple[int, str]]:
    for node in source.tree.body:
        if isinstance(node, ast.FunctionDef) and node.name.startswith("test"):
            yield node.lineno, f"{node.name} is outside a class"


def _names_no_machine_path(source: _Source) -> Iterator[tuple[int, str]]:
    for number, line in enumerate(source.text.splitlines(), start=1):
        if _MACHINE_PATH.search(line):
            yield number, "names a path of one machine"


_RULES: Final[tuple[_Rule, ...]] = (
    _imports_modules,
    _imports_no_concurrency,
    _classes_hold_state,
    _pure_classes_have_plain_bases,
    _has_docstring,
    _functions_are_short,
    _file_is_short,
    _tests_are_in_classes,
    _names_no_machine_path,
)


def check_text(
    root: pathlib.Path, path: pathlib.PurePosixPath, text: str
) -> list[Violation]:
    """Check the source `text` of the file `path`, relative to `root`."""
    source = _Source(root, path, text, ast.parse(text))
    return [
        Violation(path, line, message)
        for rule in _RULES
        for line, message in rule(source)
    ]


def check_tree(root: pathlib.Path) -> list[Violation]:
    """Check each Python file under `root`, except in hidden and build folders."""
    found: list[Violation] = []
    for path in sorted(root.rglob("*.py")):
        relative = pathlib.PurePosixPath(path.relative_to(root).as_posix())
        folders = relative.parts[:-1]
        if not any(
            f.startswith(".") or f in ("build", "dist", "target") for f in folders
        ):
            found += check_text(root, relative, path.read_text())
    return found
