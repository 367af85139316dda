"""The key files of a run."""

from __future__ import annotations

import secrets
from pathlib import Path

from ..codec import cms

KEYS_FOLDER = "keys"
TOKEN_FILE = "token"
TOKEN_BYTES = 16


class RunKeys:
    """Creates key files in the folder of a run when they are first needed."""

    def __init__(self, run_folder: Path) -> None:
        self._folder = run_folder / KEYS_FOLDER
        self._folder.mkdir(parents=True, exist_ok=True)

    def pem(self, name: str) -> str:
        """Return the path of the file with the private key and the certificate for a name."""
        path = self._folder / f"{name}.pem"
        if not path.exists():
            path.write_bytes(cms.encode_identity(cms.generate_identity(name)))
        return str(path)

    def gossip_token(self) -> str:
        """Return the path of the file with the token that the relays of the run share for gossip."""
        path = self._folder / TOKEN_FILE
        if not path.exists():
            path.write_text(secrets.token_hex(TOKEN_BYTES), encoding="utf-8")
        return str(path)
