"""Team configuration: one validated subtree per team, changed by compare-and-swap."""

from trefoilhook.configuration.core import (
    ConfigurationConflictError,
    ConfigurationEditor,
    ConfigurationValue,
)
from trefoilhook.configuration.document import (
    ChangeRecord,
    TeamDocument,
    decode_document,
    encode_document,
    list_changes,
)
from trefoilhook.configuration.paths import get_value, parse_path
from trefoilhook.configuration.schema import (
    Objective,
    PlacementChoice,
    PlacementWeights,
    Quota,
    ServiceConfiguration,
    TeamConfiguration,
    Tokens,
)
from trefoilhook.configuration.tokens import digest_token, matches_any_digest
from trefoilhook.configuration.view import ConfigurationView, build_team_key

__all__ = [
    "ChangeRecord",
    "ConfigurationConflictError",
    "ConfigurationEditor",
    "ConfigurationValue",
    "ConfigurationView",
    "Objective",
    "PlacementChoice",
    "PlacementWeights",
    "Quota",
    "ServiceConfiguration",
    "TeamConfiguration",
    "TeamDocument",
    "Tokens",
    "build_team_key",
    "decode_document",
    "digest_token",
    "encode_document",
    "get_value",
    "matches_any_digest",
    "list_changes",
    "parse_path",
]
