"""Generate docs/ERRORS.md, the page of error kinds, from the code."""

from pathlib import Path

from celerypulley.errors import ERROR_RESPONSES, ErrorKind

__all__ = ["error_page", "main"]

_PAGE_PATH = Path(__file__).resolve().parent.parent / "docs/ERRORS.md"
_PAGE_HEADER = """# Errors

Every refusal is JSON: `{"error": {"type", "message", "run", "request_id"}}`, with
the kind in `X-Celerypulley-Error` and the run state in `X-Celerypulley-Run`:

- `ran`: the work has run
- `not-run`: it has not run and will not; sending it again is safe
- `unknown`: it may have run; a call that may not be repeated is never sent again

A refusal of one request may state another run state than the table, where more is
known. This table is made from the code by `python -m tools.error_table`.

| kind | HTTP status | run | Retry-After |
| --- | --- | --- | --- |
"""


def error_page() -> str:
    """Return the text of the page."""
    lines = []
    for kind in ErrorKind:
        response = ERROR_RESPONSES[kind]
        retry = f"{response.retry_after_s} s" if response.retry_after_s else "-"
        lines.append(
            f"| {kind.value} | {response.status} | {response.run.value} | {retry} |"
        )
    return _PAGE_HEADER + "\n".join(lines) + "\n"


def main() -> None:
    """Write the page to docs/ERRORS.md."""
    _PAGE_PATH.write_text(error_page())


if __name__ == "__main__":
    main()
