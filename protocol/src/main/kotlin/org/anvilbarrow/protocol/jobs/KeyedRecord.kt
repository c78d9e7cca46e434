package org.anvilbarrow.protocol.jobs

/** A record of a keyed topic: the newest one of each key is kept; without a [value] the key is dropped. */
public class KeyedRecord(
    public val key: String,
    public val value: ByteArray?,
)
