"""Settings that the platform provides in the YAML file named by ``LATCHSPOKE_NODE_FILE``.

Errors are plain exceptions, and PyYAML is imported only when a file is read, because this package is imported
at every start.
"""

from latchspoke.settings.node import (
    SETTINGS_FILE_VARIABLE,
    FaultTolerance,
    Settings,
    SettingsError,
    load_settings,
    parse_settings,
)

__all__ = [
    "SETTINGS_FILE_VARIABLE",
    "FaultTolerance",
    "Settings",
    "SettingsError",
    "load_settings",
    "parse_settings",
]
