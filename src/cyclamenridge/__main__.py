"""Run the command line as a module."""

import os
import sys

# Names the settings file on the platform.
_SETTINGS_VARIABLE = "CYCLAMENRIDGE_CONFIG"

if __name__ == "__main__":
    if sys.argv[1:] == ["balancer"] and _SETTINGS_VARIABLE in os.environ:
        # Skips the imports of the other commands, which take a second on
        # the platform's small machines.
        from cyclamenridge import flow_main

        sys.exit(flow_main.main(os.environ[_SETTINGS_VARIABLE]))
    from cyclamenridge import run

    run.main()
