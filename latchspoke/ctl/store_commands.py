"""Commands on the store of a control-plane node: check, copy, restore."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from latchspoke.ctl.common import (
    DEFAULT_OUTPUT,
    INVALID,
    CommandError,
    ControlPlaneOptions,
    OutputOptions,
    parse_address,
    print_result,
    query_control_plane,
)

store_app = App(name="store", help="The store of a control-plane node: check, copy, restore from a copy.")


@store_app.command(name="check")
def store_check(file: Path, *, said: OutputOptions = DEFAULT_OUTPUT) -> int:
    """Check a copy, or register.db of a stopped node, and show a summary of its content."""
    from latchspoke.ctl.stores import StoreError, describe

    try:
        description = describe(file)
    except StoreError as e:
        raise CommandError(INVALID, str(e)) from None
    text = "\n".join(f"{name}: {value}" for name, value in description.items())
    return print_result(said, text, description)


@store_app.command(name="copy")
def store_copy(
    source: Annotated[
        str, Parameter(help="A control-plane node, host:port, or register.db of a stopped one.")
    ],
    to: Path,
    *,
    said: OutputOptions = DEFAULT_OUTPUT,
) -> int:
    """Copy the replicated state from a running control-plane node, or from the disk of a stopped one."""
    from latchspoke.ctl import stores

    try:
        if Path(source).exists():
            data = stores.export_copy(Path(source))
        else:
            data = query_control_plane(ControlPlaneOptions(control=source), "/register/copy").raw
        stores.write_private(to, data)
        description = stores.describe(to)
    except stores.StoreError as e:
        raise CommandError(INVALID, str(e)) from None
    text = (
        f"{to}: version {description['version']}, index {description['applied']};"
        " it contains keys, keep it safe"
    )
    return print_result(said, text, description)


@store_app.command(name="restore")
def store_restore(
    copy: Path,
    home: Annotated[Path, Parameter(help="The node's empty dataDirectory.")],
    *,
    me: Annotated[str, Parameter(help="This node's internal address, host:port.")],
    founders: Annotated[str, Parameter(help="Internal addresses of all founding nodes, including this one.")],
    said: OutputOptions = DEFAULT_OUTPUT,
) -> int:
    """Create the store of one founding node of a system restored from a copy. Run it on each of them."""
    from latchspoke.ctl import stores

    names = [name.strip() for name in founders.split(",") if name.strip()]
    for name in names:
        parse_address(name)
    try:
        snapshot = stores.restore(copy, home, me, names)
    except stores.StoreError as e:
        raise CommandError(INVALID, str(e)) from None
    result = {"home": str(home), "place": snapshot.index, "voters": list(snapshot.members.voters)}
    return print_result(said, f"{home}: starts at index {snapshot.index} with {', '.join(names)}", result)
