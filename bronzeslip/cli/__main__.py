"""Entry point of bronzeslipctl."""

import os
import sys

from bronzeslip.cli import program


def main() -> None:
    """Runs the command and exits with its status."""
    run = program.Program(os.environ, sys.stdin, sys.stdout, sys.stderr)
    try:
        status = run.run(sys.argv[1:])
    except KeyboardInterrupt:
        status = 130
    sys.exit(status)


if __name__ == "__main__":
    main()
