package org.anvilbarrow.standins

import java.time.Duration
import java.time.Instant
import java.time.InstantSource

/** A clock that moves only when a test says so. */
internal class ManualClock : InstantSource {
    @Volatile
    private var now = Instant.parse("2026-03-02T08:00:00Z")

    override fun instant(): Instant = now

    fun advanceMillis(millis: Long) {
        now += Duration.ofMillis(millis)
    }
}
