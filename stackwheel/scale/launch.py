"""`python -m stackwheel.scale.launch PARENT COMMAND...`: runs a command that the kernel kills with its parent."""

from __future__ import annotations

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1  # prctl(2)


def end_with_parent(parent: int) -> None:
    """Have the kernel send SIGKILL when the parent process ends; exit if it has ended already."""
    if ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0) != 0:
        raise OSError(ctypes.get_errno(), "prctl")
    if os.getppid() != parent:
        sys.exit(1)


def main() -> None:
    """Replace this process by the command; the kernel's setting outlives that."""
    end_with_parent(int(sys.argv[1]))
    os.execv(sys.argv[2], sys.argv[2:])


if __name__ == "__main__":
    main()
