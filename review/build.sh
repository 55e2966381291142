#!/bin/sh
# Builds the stand-ins that the cases start. They are plain JavaScript in review/lib, so only their syntax is checked.
cd "$(dirname "$0")" || exit 2
for file in lib/*.mjs [1-5]/case.mjs; do
	node --check "$file" || exit 2
done
