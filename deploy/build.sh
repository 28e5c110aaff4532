# Installs the locked libraries and the packages of this repository into
# target/deps.
set -eu
lock=deploy/requirements.txt
stamp=target/deps.stamp
if ! cmp -s "$lock" "$stamp"; then
    rm -rf target/deps
    python3 -m pip install --quiet --target target/deps -r "$lock"
    mkdir -p target
    cp "$lock" "$stamp"
fi
for package in common document entry instance peering; do
    rm -rf "target/deps/citronshelf_$package"
    cp -r "libs/citronshelf_$package/citronshelf_$package" target/deps/
done
rm -rf target/deps/citronshelf_platform
cp -r platform/citronshelf_platform target/deps/
