#!/bin/sh
# Lays the files that a bench wants byte for byte beside each deployment of this folder; git ignores them.
# Use: deploy/sites/make.sh FOLDER, the folder that holds real.json, wire.json and unlock.txt.
set -eu
from=$1
cd "$(dirname "$0")"
for site in */; do
	for file in real.json wire.json unlock.txt; do
		cp "$from/$file" "$site$file"
		chmod u+w "$site$file"
	done
done
