#!/bin/sh
# Runs the archive appended to this script; POLLENPATH_JAVA_OPTS replaces the heap options.
# A small first heap that gives memory back keeps an idle process within its share of a VM.
heap="-Xms16m -Xmx96m -XX:MinHeapFreeRatio=15 -XX:MaxHeapFreeRatio=30"
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" -XX:+UseSerialGC -Xss512k ${POLLENPATH_JAVA_OPTS:-$heap} \
  -jar "$0" "$@"
