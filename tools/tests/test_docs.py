"""Names in the documentation that must exist in the tree.

A renamed module, function or test otherwise leaves a page that leads nowhere.
"""

import ast
import functools
import pathlib
import re
import unittest
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).resolve().parents[2]
PACKAGE = ROOT / "trefoilhook"
PROOFS = ROOT / "docs" / "PROOFS.md"
METRICS = ROOT / "docs" / "METRICS.md"

_CODE = re.compile(r"`([^`\s]+)`")
_PATH = re.compile(r"[\w-]+(?:/(?![A-Z]+(?:/|$))[\w.-]+)*/?")
_FILE = re.compile(r"[\w-]+(?:/[\w.-]+)*\.(?:py|proto|toml|md)")
_TOP_FOLDERS = ("trefoilhook/", "bench/", "deploy/", "docs/", "tools/")
_TEST = re.compile(r"test_\w+")
_DOTTED = re.compile(r"(?:trefoilhook|bench|tools)(?:\.\w+)+")
_PROOF_TEST = re.compile(r"(?:(\w+) )?\b(test_\w+)")
_PROOF_GUARD = re.compile(r"(\w+(?:\.\w+)+) (\w+)(?: (?:[(.]|\w).*)?")
_NOTE = re.compile(r"\([^)]*\)")
_GUARD_NAME = re.compile(r"[\w./]*[A-Za-z]\w*")


def _list_pages() -> list[pathlib.Path]:
    pages = [ROOT / "README.md", ROOT / "CONTRIBUTING.md"]
    return [*pages, *sorted((ROOT / "docs").rglob("*.md"))]


def _list_sources() -> list[pathlib.Path]:
    return [
        path
        for folder in ("trefoilhook", "bench", "tools")
        for path in sorted((ROOT / folder).rglob("*.py"))
    ]


@functools.cache
def _read_names(path: pathlib.Path) -> frozenset[str]:
    """Return the names that a module defines or imports, at any depth."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
            names.add(node.name)
        elif isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store):
            names.add(node.id)
        elif isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store):
            names.add(node.attr)
        elif isinstance(node, ast.arg):
            names.add(node.arg)
        elif isinstance(node, ast.ImportFrom):
            names.update(alias.asname or alias.name for alias in node.names)
    return frozenset(names)


@functools.cache
def _read_tests() -> frozenset[str]:
    """Return the names of all test functions and test modules."""
    paths = [path for path in _list_sources() if path.parent.name == "tests"]
    functions = {name for path in paths for name in _read_names(path)}
    return frozenset(functions | {path.stem for path in paths})


def _find_module(dotted: str, *, inside: pathlib.Path) -> pathlib.Path | None:
    path = inside.joinpath(*dotted.split("."))
    if path.with_suffix(".py").is_file():
        return path.with_suffix(".py")
    return path / "__init__.py" if (path / "__init__.py").is_file() else None


def _is_defined(dotted: str) -> bool:
    """Return whether a dotted name is a module, or a name in one."""
    if _find_module(dotted, inside=ROOT):
        return True
    parent, _, name = dotted.rpartition(".")
    module = _find_module(parent, inside=ROOT)
    return module is not None and name in _read_names(module)


def _is_path(name: str, page: pathlib.Path) -> bool:
    """Return whether a path exists from the root, the package, or beside the page."""
    if any((folder / name).exists() for folder in (ROOT, PACKAGE, page.parent)):
        return True
    return "/" not in name and any(path.name == name for path in _list_sources())


def _find_missing(page: pathlib.Path) -> Iterator[str]:
    metrics = set(_CODE.findall(METRICS.read_text(encoding="utf-8")))
    for name in _CODE.findall(page.read_text(encoding="utf-8")):
        is_file = _FILE.fullmatch(name) and not name.isupper()
        if is_file or (name.startswith(_TOP_FOLDERS) and _PATH.fullmatch(name)):
            exists = _is_path(name, page)
        elif _TEST.fullmatch(name):
            exists = name in _read_tests()
        elif _DOTTED.fullmatch(name) and name not in metrics:
            exists = _is_defined(name)
        else:
            continue
        if not exists:
            yield name


def _read_proofs() -> Iterator[tuple[str, str]]:
    """Yield the test and the guard of each row of the table of proofs."""
    for line in PROOFS.read_text(encoding="utf-8").splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) >= 4 and " test_" in f" {cells[1]}":
            yield cells[1], cells[2]


@functools.cache
def _read_package_tests(package: str) -> frozenset[str]:
    """Return the names of the test functions and test modules of a package."""
    paths = list((PACKAGE / package / "tests").glob("test_*.py"))
    functions = {name for path in paths for name in _read_names(path)}
    return frozenset(functions | {path.stem for path in paths})


def _is_guard(name: str, packages: set[str]) -> bool:
    """Return whether a word of a guard is a module or a name in one of the packages.

    Guards name modules with their package, or as modules of the package of the test.
    """
    if (ROOT / name).with_suffix(".py").is_file():
        return True
    if _find_module(name, inside=PACKAGE):
        return True
    last = name.rpartition(".")[2]
    return any(
        path.stem == last or last in _read_names(path)
        for package in packages
        for path in (PACKAGE / package).glob("*.py")
    )


class NamesTest(unittest.TestCase):
    """Paths, modules, tests and guards that the pages name."""

    def test_names_in_pages_exist(self):
        for page in _list_pages():
            with self.subTest(page=page.name):
                self.assertEqual(sorted(set(_find_missing(page))), [])

    def test_proofs_name_tests_that_exist(self):
        rows = list(_read_proofs())
        self.assertGreater(len(rows), 100)
        for cell, _ in rows:
            package = cell.partition(" ")[0]
            for package_name, test in _PROOF_TEST.findall(cell):
                package = package_name or package
                with self.subTest(package=package, test=test):
                    self.assertIn(test, _read_package_tests(package))

    def test_proofs_name_guards_that_exist(self):
        rows = list(_read_proofs())
        self.assertGreater(len(rows), 100)
        for cell, guards in rows:
            for guard in _NOTE.sub("", guards).split(";"):
                names = _GUARD_NAME.findall(guard)
                packages = {*re.findall(r"\w+", cell), *names[0].split(".")}
                for name in names:
                    with self.subTest(test=cell, guard=name):
                        self.assertTrue(_is_guard(name, packages))

    def test_proofs_name_guards_of_the_given_modules(self):
        rows = [_PROOF_GUARD.fullmatch(guard) for _, guard in _read_proofs()]
        found = [match.groups() for match in rows if match]
        self.assertGreater(len(found), 50)
        for dotted, name in found:
            module = _find_module(dotted, inside=PACKAGE)
            with self.subTest(module=dotted, guard=name):
                self.assertIsNotNone(module)
                self.assertIn(name, _read_names(module))
