"""``python -m catkinfork``."""

from catkinfork.cli import main

if __name__ == "__main__":
    main()
