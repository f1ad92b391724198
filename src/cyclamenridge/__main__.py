"""Entry point of ``python -m cyclamenridge``."""

from cyclamenridge import run

if __name__ == "__main__":
    run.main()
