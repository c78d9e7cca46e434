package org.anvilbarrow.protocol.jobs

/** A record of a compacted topic, which retains the newest record per key; a null [value] deletes the key. */
public class KeyedRecord(
    public val key: String,
    public val value: ByteArray?,
)
