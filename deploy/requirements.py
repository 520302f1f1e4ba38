"""Print the runtime dependencies of pyproject.toml, one a line."""

import tomllib
from pathlib import Path

PYPROJECT = Path(__file__).resolve().parent.parent / "pyproject.toml"

for requirement in tomllib.loads(PYPROJECT.read_text())["project"]["dependencies"]:
    print(requirement)
