#!/bin/bash
exec "$(dirname "$0")/../standin/run.sh" ResetAnswer review/1
