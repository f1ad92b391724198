import importlib.metadata
import pathlib
import re
import subprocess
import sys

REQUIREMENTS = pathlib.Path(__file__).parents[2] / "deploy/requirements.txt"
IMPORT_WITHOUT_OTHERS = """
import importlib.abc
import sys


class Blocker(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        top = name.partition(".")[0]
        if top not in sys.stdlib_module_names and top not in sys.argv:
            raise ModuleNotFoundError(f"No module named {top!r}")


sys.meta_path.insert(0, Blocker())
import cyclamenridge.flow_main
"""


def test_the_deployed_process_imports_only_what_is_installed_with_it():
    """All processes ended at their start, as a module was not installed."""
    installed = set(re.findall(r"(?m)^[\w.-]+", REQUIREMENTS.read_text()))
    for name in list(installed):
        for line in importlib.metadata.requires(name) or ():
            if "extra ==" not in line:
                installed.add(re.match(r"[\w.-]+", line).group())
    packages = importlib.metadata.packages_distributions()
    modules = [
        module
        for module, names in packages.items()
        if installed.intersection(names)
    ]
    subprocess.run(
        [
            sys.executable,
            "-c",
            IMPORT_WITHOUT_OTHERS,
            "cyclamenridge",
            *modules,
        ],
        check=True,
    )
