"""Entry point of `python -m hornbeamdeck` and of the zipapp."""

from hornbeamdeck.cli import main

if __name__ == '__main__':
    main()
