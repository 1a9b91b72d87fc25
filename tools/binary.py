"""Build `dist/celerypulley`, a single file with the program and its libraries.

shiv makes a file that unpacks itself on its first start and then runs in the same
process. PyInstaller's one-file mode is not used: its bootloader forks a child, and no
process of the system may start another.
"""

import subprocess
import sys
from pathlib import Path

__all__ = ["main"]

_ROOT = Path(__file__).resolve().parent.parent
_OUTPUT_PATH = _ROOT / "dist/celerypulley"


def main() -> None:
    """Build the file and run its `version` command as a test."""
    _OUTPUT_PATH.parent.mkdir(exist_ok=True)
    shiv = Path(sys.executable).parent / "shiv"
    requirements = [str(_ROOT / f"requirements{part}.txt") for part in ("", "-reports")]
    interpreter = f"/usr/bin/env {Path(sys.executable).resolve().name}"
    command = [str(shiv), "-c", "celerypulley", "-o", str(_OUTPUT_PATH)]
    command += [
        "-p",
        interpreter,
        "-r",
        requirements[0],
        "-r",
        requirements[1],
        str(_ROOT),
    ]
    subprocess.run(command, check=True)
    subprocess.run([sys.executable, str(_OUTPUT_PATH), "version"], check=True)
    print(
        f"{_OUTPUT_PATH.relative_to(_ROOT)}: {_OUTPUT_PATH.stat().st_size // 2**20} MB"
    )


if __name__ == "__main__":
    main()
