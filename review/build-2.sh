#!/bin/sh
# Builds the stand-ins of the cases from 6 on. Needs the JDK only.
set -e
cd "$(dirname "$0")/standin-2"
rm -rf target
mkdir -p target
javac -d target src/*.java
