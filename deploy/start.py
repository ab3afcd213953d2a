"""Start the daemon from the packages beside this file."""

import runpy

runpy.run_module("pimentobend_platform", run_name="__main__", alter_sys=True)
