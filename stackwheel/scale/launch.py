"""`python -m stackwheel.scale.launch PARENT COMMAND...`: runs a command that the kernel kills when its parent ends."""

from __future__ import annotations

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1  # See prctl(2).


def end_with_parent(parent: int) -> None:
    """Request SIGKILL from the kernel for the time when the parent ends; exit if it has already ended."""
    if ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0) != 0:
        raise OSError(ctypes.get_errno(), "prctl")
    if os.getppid() != parent:
        sys.exit(1)


def main() -> None:
    """Replace this process by the command, for which the kernel's setting remains in force."""
    end_with_parent(int(sys.argv[1]))
    os.execv(sys.argv[2], sys.argv[2:])


if __name__ == "__main__":
    main()
