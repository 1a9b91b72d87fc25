"""Build the one file that runs everything: `dist/celerypulley`.

shiv packs the program and its libraries into one file that unpacks itself once
and then runs in the same process. PyInstaller's one-file mode was weighed and
left: its starter forks a child, and no process of the system may start another.
"""

import subprocess
import sys
from pathlib import Path

__all__ = ["main"]

_ROOT = Path(__file__).resolve().parent.parent
_OUTPUT_PATH = _ROOT / "dist/celerypulley"


def main() -> None:
    """Build the file and ask it for its version."""
    _OUTPUT_PATH.parent.mkdir(exist_ok=True)
    shiv = Path(sys.executable).parent / "shiv"
    lists = [str(_ROOT / f"requirements{part}.txt") for part in ("", "-reports")]
    interpreter = f"/usr/bin/env {Path(sys.executable).resolve().name}"
    command = [str(shiv), "-c", "celerypulley", "-o", str(_OUTPUT_PATH)]
    command += ["-p", interpreter, "-r", lists[0], "-r", lists[1], str(_ROOT)]
    subprocess.run(command, check=True)
    subprocess.run([sys.executable, str(_OUTPUT_PATH), "version"], check=True)
    print(
        f"{_OUTPUT_PATH.relative_to(_ROOT)}: {_OUTPUT_PATH.stat().st_size // 2**20} MB"
    )


if __name__ == "__main__":
    main()
