#!/bin/sh
# Installs the libraries and the packages of a gateway node below target/deps.
set -eu
deps=target/deps
if [ ! "$deps/.libraries" -nt deploy/requirements.txt ]; then
    python3 -m pip install --quiet --upgrade --target "$deps" -r deploy/requirements.txt
    touch "$deps/.libraries"
fi
for package in decisions/cicadapass_decisions common/cicadapass_common gateway/cicadapass_gateway; do
    rm -rf "$deps/$(basename "$package")"
    cp -R "packages/$package" "$deps/"
done
rm -rf "$deps/cicadapass_platform"
cp -R platform/cicadapass_platform "$deps/"
python3 -m compileall -q "$deps"
