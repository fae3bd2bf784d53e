#!/bin/bash
exec "$(dirname "$0")/../standin/run.sh" LeavingEngine review/2
