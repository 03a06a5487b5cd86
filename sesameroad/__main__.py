"""Runs the sesameroad command as `python -m sesameroad`."""

from sesameroad.command_line import main

if __name__ == "__main__":
    main.run()
