#!/usr/bin/env bash
# play.sh N: plays case N. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1 LOGURU_AUTOINIT=0
python3 "review/$1/case.py"
case $? in
  20) exit 0 ;;
  21) exit 1 ;;
  *) exit 2 ;;
esac
