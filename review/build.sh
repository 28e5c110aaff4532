# Checks that every stand-in of the review's scripts compiles. They need the
# standard library only; the instances run from target/deps, which the build
# of the deploy file makes.
set -eu
cd "$(dirname "$0")"
python3 - <<'PROGRAM'
import pathlib
for path in sorted(pathlib.Path('.').rglob('*.py')):
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
PROGRAM
