#!/bin/bash
exec "$(dirname "$0")/../standin/run.sh" PagedList review/3
