"""Modules depend on each other in one direction, the lower ones on no adapter."""

import ast
import graphlib
import pathlib
import tempfile
import unittest
from collections.abc import Iterator

import trefoilhook

_ROOT = pathlib.Path(trefoilhook.__file__).parent
_LOWER = ("clock", "decoding", "exceptions", "http", "logs")
_UPPER = ("platform", "runtime", "scheduling")


def _name_module(path: pathlib.Path, root: pathlib.Path) -> str:
    parts = path.relative_to(root.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def _list_imports(tree: ast.Module) -> Iterator[str]:
    """Yield all that a module imports, wherever it stands.

    Imports for the type checker count, too: a module can't be read, checked or moved
    without what its signatures name. So do those in functions, which only put a circle
    off until the first call.
    """
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            if node.level:
                raise ValueError("a relative import can't be followed here")
            for alias in node.names:
                yield f"{node.module}.{alias.name}"


def _resolve(name: str, modules: set[str]) -> str | None:
    """Return the module that an imported name is, or is taken from."""
    if name in modules:
        return name
    parent = name.rpartition(".")[0]
    return parent if parent in modules else None


def read_dependencies(root: pathlib.Path) -> dict[str, set[str]]:
    """Return what each module of a package names in its imports.

    A module runs the ``__init__`` of the packages above it as well. That isn't counted:
    each package that re-exports would be a circle with all its modules.
    """
    paths = {_name_module(path, root): path for path in root.rglob("*.py")}
    modules = set(paths)
    dependencies = {}
    for module, path in paths.items():
        tree = ast.parse(path.read_text(encoding="utf-8"))
        found = {_resolve(name, modules) for name in _list_imports(tree)}
        dependencies[module] = {name for name in found if name and name != module}
    return dependencies


def _find_circle(dependencies: dict[str, set[str]]) -> list[str]:
    try:
        graphlib.TopologicalSorter(dependencies).prepare()
    except graphlib.CycleError as error:
        circle: list[str] = error.args[1]
        return circle
    return []


def _is_within(module: str, packages: tuple[str, ...]) -> bool:
    parts = module.split(".")
    return len(parts) > 1 and parts[1] in packages


class TestReading(unittest.TestCase):
    """Reading the imports of a package."""

    def _read(self, **sources: str) -> dict[str, set[str]]:
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder) / "package"
            root.mkdir()
            for name, source in sources.items():
                (root / f"{name}.py").write_text(source)
            return read_dependencies(root)

    def test_imports_of_each_form_are_seen(self):
        forms = (
            "import package.b",
            "from package import b",
            "from package.b import thing",
            "def call():\n    from package.b import thing\n    return thing",
            "if TYPE_CHECKING:\n    from package.b import thing",
        )
        for form in forms:
            with self.subTest(form=form):
                found = self._read(__init__="", a=form, b="thing = 1")
                self.assertEqual(found["package.a"], {"package.b"})

    def test_a_circle_is_found(self):
        found = self._read(
            __init__="",
            a="from package.b import thing",
            b="import package.c",
            c="if TYPE_CHECKING:\n    from package import a",
        )
        circle = _find_circle(found)
        self.assertEqual(set(circle), {"package.a", "package.b", "package.c"})


class TestDirection(unittest.TestCase):
    """The imports of the package itself."""

    @classmethod
    def setUpClass(cls):
        cls.dependencies = read_dependencies(_ROOT)

    def test_no_circle_of_modules(self):
        self.assertEqual(_find_circle(self.dependencies), [])

    def test_lower_packages_know_nothing_of_upper_ones(self):
        for package in _LOWER:
            members = [m for m in self.dependencies if _is_within(m, (package,))]
            self.assertTrue(members)
            for module in members:
                known = self.dependencies[module]
                upper = {name for name in known if _is_within(name, _UPPER)}
                with self.subTest(module=module):
                    self.assertEqual(upper, set())

    def test_the_exception_tree_knows_only_the_result_codes(self):
        known = self.dependencies["trefoilhook.exceptions"]
        self.assertEqual(known, {"trefoilhook.results"})
