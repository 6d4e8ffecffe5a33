"""The data directory of a replica: opens its store, or sets a damaged one aside and begins a new one.

A member whose store is damaged, or an older copy, may have forgotten its votes and must not vote under its
old identity again. It returns as a member whose disk was lost does: with an empty store and a new identity.
The damaged files are kept in a folder beside it, which also tells later starts that this machine has had a
store.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

from latchspoke.agent.raft_store import DamagedStoreError, RaftStore, RaftStoreError
from latchspoke.consensus.records import Snapshot, Stored

DATABASE_FILE = "register.db"
STORE_FILES = (DATABASE_FILE, "register.db-wal", "register.db-journal", "register.start")
SET_ASIDE_FOLDER = "damaged"
LogEvent = Callable[[str, dict[str, Any]], None]


class ReplicaDisk:
    """The store in a data directory, which is created if it is missing."""

    def __init__(self, home: Path, log: LogEvent) -> None:
        self.home, self.log = home, log
        self.store: RaftStore | None = None

    @property
    def set_aside_folder(self) -> Path:
        """Where the files of a damaged store are kept."""
        return self.home / SET_ASIDE_FOLDER

    def has_set_aside(self) -> bool:
        """Whether a damaged store of this machine was set aside."""
        return self.set_aside_folder.exists()

    def load(
        self, name: str, choose_suffix: Callable[[bool], str], founding_snapshot: Snapshot
    ) -> tuple[RaftStore, Stored]:
        """Open the store, if it isn't open, and count a start; a damaged store is set aside first.

        ``choose_suffix`` gets whether this machine has had a store that is gone, and returns the suffix of a
        new identity. Raises RaftStoreError.
        """
        try:
            return self.open_store(name, choose_suffix, founding_snapshot)
        except DamagedStoreError as error:
            self.log("store-set-aside", {"error": str(error), "folder": str(self.set_aside_folder)})
            self.close()
            self.set_aside()
        return self.open_store(name, choose_suffix, founding_snapshot)

    def open_store(
        self, name: str, choose_suffix: Callable[[bool], str], founding_snapshot: Snapshot
    ) -> tuple[RaftStore, Stored]:
        """As ``load``, but raises DamagedStoreError for a damaged store."""
        if self.store is None:
            self.create_home()
            self.store = RaftStore(self.home / DATABASE_FILE, exclusive=True, lock_timeout_s=0.0)
        suffix = choose_suffix(self.has_set_aside())
        try:
            return self.store, self.store.start(name, suffix, suffix == "first", founding_snapshot)
        except BaseException:
            self.close()
            raise

    def create_home(self) -> None:
        """Create the data directory. Raises RaftStoreError."""
        try:
            self.home.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise RaftStoreError(f"{self.home} can't be used: {error}") from None

    def is_gone(self) -> bool:
        """Whether the open store's file has been removed, so that nothing written now would last."""
        try:
            os.stat(self.home / DATABASE_FILE)
        except FileNotFoundError:
            return True
        except OSError:
            return False  # may return
        return False

    def set_aside(self) -> None:
        """Move the files of the store into the folder for damaged ones, in place of earlier ones.

        The database comes first: without it, what is left of the others is never taken for a store. Raises
        RaftStoreError.
        """
        folder = self.set_aside_folder
        try:
            folder.mkdir(exist_ok=True)
            sync_folder(self.home)
            for name in STORE_FILES:
                if (self.home / name).exists():
                    os.replace(self.home / name, folder / name)
                    sync_folder(self.home)
                else:
                    (folder / name).unlink(missing_ok=True)
        except OSError as error:
            raise RaftStoreError(f"{folder} can't be used: {error}") from None

    def close(self) -> None:
        """Close the store, if it is open."""
        if self.store is not None:
            self.store.close()
            self.store = None


def sync_folder(folder: Path) -> None:
    """Let names that were removed, renamed or created in a folder last. Raises OSError."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
