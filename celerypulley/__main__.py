"""Entry point of `python -m celerypulley`."""

from celerypulley.cli import main

if __name__ == "__main__":
    main()
