#!/bin/sh
# Regenerates committed code from the FlatBuffers schema. Needs flatc
# (Debian package flatbuffers-compiler); building does not.
set -eu
cd "$(dirname "$0")/.."
flatc --cpp --scoped-enums -o src/wire src/wire/peer.fbs
flatc --cpp --scoped-enums -o src/gateway src/gateway/peer_report.fbs src/gateway/engine_record.fbs
flatc --cpp --scoped-enums -o src/replica src/replica/records.fbs
