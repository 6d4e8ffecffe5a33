"""What belongs to one first try. Pure and streaming: memory holds what may still be repeated.

An entry repeats an earlier one of the same customer, method, path and query if

- both carry the same try id, where the source has such an id; or
- the client marked it as a retry; or
- the earlier one failed, was refused or broke off, and had ended before this one began;

and if it came within the class's give-up time after the earlier one ended (or began, where no end is
known), and the try has not had all its attempts.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

SLACK = 0.05  # s; clocks of two gateways, and rounding, may let a retry seem to begin before the end
# Below these a client has what it asked for, or is at fault itself.
REPEATED = (408, 425, 429)


@dataclass(slots=True)
class Try:
    """A first try and what followed it, as far as seen."""

    number: int
    ended: float
    until: float
    status: int
    attempts: int = 0
    ident: str = ""


def bad(status: int) -> bool:
    """Whether a client repeats after this: no answer, a failure of the other side, or a refusal."""
    return status == 0 or status >= 500 or status in REPEATED


class Retries:
    """Recognises retries in entries that come in order of their times."""

    def __init__(self, give_up: float, most: int) -> None:
        self.give_up, self.most = give_up, most
        self.open: dict[tuple[int, str, str], Try] = {}
        self.idents: dict[tuple[int, str], Try] = {}
        self.queue: deque[tuple[float, tuple[int, str, str], str]] = deque()

    def place(
        self,
        number: int,
        at: float,
        key: tuple[int, str, str],
        status: int,
        took: float | None,
        ident: str = "",
        marked: bool = False,
    ) -> tuple[int, int]:
        """The number of the first try, and which attempt of it this is (0 for the first itself)."""
        self.forget(at)
        ended = at + (took if took is not None else 0.0)
        known = self.idents.get((key[0], ident)) if ident else None
        if known is None:
            known = self.open.get(key)
            if known is not None and not self.repeats(known, at, ident, marked):
                known = None
        if known is None or known.attempts >= self.most:
            known = Try(number, ended, ended + self.give_up, status, 0, ident)
        else:
            known.attempts += 1
            known.ended, known.status = max(known.ended, ended), status
            known.until = max(known.until, ended + self.give_up)
        self.open[key] = known
        if ident:
            self.idents[key[0], ident] = known
        self.queue.append((at, key, ident))
        return known.number, known.attempts

    def repeats(self, known: Try, at: float, ident: str, marked: bool) -> bool:
        if at > known.until or (ident and known.ident):
            return False  # two ids are two tries, whatever else they share
        return marked or (bad(known.status) and at >= known.ended - SLACK)

    def forget(self, now: float) -> None:
        """Tries that nothing can repeat any more."""
        while self.queue and now - self.queue[0][0] > 2 * self.give_up:
            _, key, ident = self.queue.popleft()
            known = self.open.get(key)
            if known is not None and known.until < now:
                del self.open[key]
            if ident and (by_id := self.idents.get((key[0], ident))) is not None and by_id.until < now:
                del self.idents[key[0], ident]
