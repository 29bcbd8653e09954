"""The features file, which switches parts of the service on; it is read once when the process starts."""

from pathlib import Path

import msgspec

from ramptide.config.settings import SettingsError


class QuotaFeature(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The quota feature (`ramptide.quota`): transfers of team limit shares, and limits that operators change."""

    enabled: bool


class Features(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The features that can be switched on; without a features file all of them are off."""

    quota: QuotaFeature


def load_features(path: Path) -> Features:
    """Read and check the features file.

    Raises
    ------
    SettingsError
        If the file cannot be read, or a field is unknown, missing or wrong; the message is one line that names it.
    """
    # Imported here, as most processes start without a features file.
    import tomllib

    try:
        value = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    try:
        return msgspec.convert(value, Features)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from error
