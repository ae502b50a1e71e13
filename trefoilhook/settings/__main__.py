"""Writes the reference page of the settings to standard output."""

import sys

from trefoilhook.settings.page import render_page
from trefoilhook.settings.sections import BaseSettings

if __name__ == "__main__":
    sys.stdout.write(render_page(BaseSettings))
