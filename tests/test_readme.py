"""The README's example runs and prints what the README says."""

from __future__ import annotations

import contextlib
import io
import re
from pathlib import Path


def test_the_example_runs() -> None:
    text = Path("README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.S)
    assert code
    said = re.search(r"It prints `(.*?)`", text)
    assert said
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        exec(code.group(1), {})
    assert out.getvalue().strip() == said.group(1)


def test_every_constant_stands_in_the_design_page() -> None:
    page = Path("docs/design.md").read_text()
    source = "\n".join(Path(f"barleyhub/{name}.py").read_text() for name in ("choice", "quotas", "fleet"))
    names = [n for line in re.findall(r"^([A-Z][A-Z_, ]+) = ", source, re.M) for n in line.split(", ")]
    assert len(names) > 20
    assert [n for n in names if f"`{n}`" not in page] == []
