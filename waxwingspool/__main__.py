"""Runs the command-line interface as ``python -m waxwingspool``."""

from waxwingspool.cli import main

if __name__ == "__main__":
    main.main()
