"""What the platform tells a process: the YAML file that ``LATCHSPOKE_NODE_FILE`` names.

Plain exceptions here: this is on the path of every start, and importing ``returns`` takes 40 to 60 ms.
PyYAML is imported when a file is read, not before.
"""

from latchspoke.settings.node import VARIABLE, Settings, SettingsError, Tolerance, load, parse

__all__ = ["VARIABLE", "Settings", "SettingsError", "Tolerance", "load", "parse"]
