"""Generate the reference page of the settings."""

from __future__ import annotations

from monsoontray.settings.declarations import DECLARATIONS, Declaration

_TYPE_NAMES = {
    str: "string",
    int: "whole number",
    list: "list of strings",
    float: "number",
}


def render_page() -> str:
    """Return the page as Markdown."""
    lines = [
        "# Settings",
        "",
        "A node reads its settings as one JSON object from a file. To check a file,",
        "run `monsoontray check-settings FILE`. `make settings-page` writes this page.",
        "",
        "| name | type | unit | default | range | meaning |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    lines.extend(_render_row(declaration) for declaration in DECLARATIONS)
    return "\n".join(lines) + "\n"


def _render_row(declaration: Declaration) -> str:
    default = "required" if declaration.required else f"`{declaration.default!r}`"
    limits = ""
    if declaration.minimum is not None:
        limits = f"{declaration.minimum} to {declaration.maximum}"
    if declaration.choices:
        limits = ", ".join(declaration.choices)
    if declaration.is_address:
        limits = "IP:PORT"
    if declaration.is_url:
        limits = "http://IP:PORT"
    cells = (
        f"`{declaration.name}`",
        _TYPE_NAMES[declaration.value_type],
        declaration.unit,
        default,
        limits,
        declaration.description,
    )
    return "| " + " | ".join(cells) + " |"


if __name__ == "__main__":
    print(render_page(), end="")
