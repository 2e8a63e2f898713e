#!/usr/bin/env bash
# Plays the case "gang"; see claim.txt. It writes record.txt.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../play.sh" gang "$here"
