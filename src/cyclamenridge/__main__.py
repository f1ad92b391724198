"""Run the command line as a module."""

from cyclamenridge import run

if __name__ == "__main__":
    run.main()
