"""Declaration, validation and documentation of settings."""

from trefoilhook.settings.checks import (
    check_choice,
    check_name,
    check_range,
    is_digest,
    is_host,
)
from trefoilhook.settings.core import FieldError, declare, declare_section
from trefoilhook.settings.page import render_page
from trefoilhook.settings.problems import InvalidSettingsError, SettingProblem
from trefoilhook.settings.reader import (
    dump_json,
    load_settings,
    parse_json,
    read_message,
    read_settings,
)
from trefoilhook.settings.sections import (
    AdminSettings,
    BaseSettings,
    InstanceListSettings,
    InstanceSettings,
    ListenerSettings,
    ListenersSettings,
    PeerSettings,
    ShardSettings,
    StoreSettings,
    TlsSettings,
)

__all__ = [
    "AdminSettings",
    "BaseSettings",
    "FieldError",
    "InstanceListSettings",
    "InstanceSettings",
    "InvalidSettingsError",
    "ListenerSettings",
    "ListenersSettings",
    "PeerSettings",
    "SettingProblem",
    "ShardSettings",
    "StoreSettings",
    "TlsSettings",
    "declare",
    "declare_section",
    "dump_json",
    "is_digest",
    "is_host",
    "check_name",
    "check_choice",
    "check_range",
    "load_settings",
    "parse_json",
    "read_message",
    "read_settings",
    "render_page",
]
