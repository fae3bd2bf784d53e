#!/bin/bash
# Builds the stand-ins and the cases. Needs the deploy file's build to have run; uses the JSON library that it leaves.
set -e
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target
javac -nowarn -d review/target -cp 'platform/target/lib/*' review/standin/*.java review/[1-9]/*.java
