package org.anvilbarrow.standins.log

/** Limits of the log. */
@Suppress("MagicNumber") // The properties name the numbers.
public data class LogSettings(
    /** Payloads accepted per second; an append over it is refused. */
    val appendsPerSecond: Int = 300,
    /** Records that are kept; older ones are dropped. */
    val retainedRecords: Int = 100_000,
    /** Characters of payload that are kept over all records; older records are dropped. */
    val retainedChars: Long = 32L * 1024 * 1024,
    /** Most records in one page. */
    val pageRecords: Int = 500,
)
