#!/bin/sh
exec node "$(dirname "$0")/main.js"
