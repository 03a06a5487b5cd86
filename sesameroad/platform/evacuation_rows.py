"""Decodes the rows with which operators evacuate data centres."""

from sesameroad.platform import row_store

_PREFIX = "evacuate/"


def decode(row: row_store.Row) -> str | None:
    """Returns the data centre that a row is about, None for other rows.

    The existence of the row is the request; its value does not matter.
    """
    if not row.key.startswith(_PREFIX):
        return None
    return row.key.removeprefix(_PREFIX) or None
