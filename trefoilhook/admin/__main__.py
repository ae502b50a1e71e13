"""Writes the OpenAPI description of the admin API to standard output."""

import sys

from trefoilhook.admin.openapi import render_openapi

if __name__ == "__main__":
    sys.stdout.write(render_openapi())
