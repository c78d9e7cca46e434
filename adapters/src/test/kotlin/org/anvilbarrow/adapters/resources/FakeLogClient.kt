package org.anvilbarrow.adapters.resources

import org.anvilbarrow.adapters.platform.AppendCallResult
import org.anvilbarrow.adapters.platform.LogClient
import org.anvilbarrow.adapters.platform.ReadCallResult
import org.anvilbarrow.protocol.log.LogRecord
import org.anvilbarrow.protocol.log.RecordsPage
import java.time.Duration
import java.time.Instant
import java.time.InstantSource

/** A clock that moves only when a test or a pause moves it. */
internal class FakeClock : InstantSource {
    private var now = Instant.parse("2026-01-01T00:00:00Z")

    override fun instant(): Instant = now

    fun advance(by: Duration) {
        now += by
    }
}

/** How [FakeLogClient] treats the next append. */
internal enum class AppendFault { NONE, ANSWER_LOST, RECORD_LOST, REFUSED }

/** The platform's log in memory. */
internal class FakeLogClient(
    private val clock: InstantSource,
) : LogClient {
    private val records = mutableListOf<Pair<Instant, LogRecord>>()
    var down = false
    var delay: Duration = Duration.ZERO
    var faults = ArrayDeque<AppendFault>()
    var beforeAppend: () -> Unit = {}
    val size get() = records.size

    override fun append(payloads: List<String>): AppendCallResult {
        if (down) return AppendCallResult.NotAppended("down")
        beforeAppend.also { beforeAppend = {} }()
        val fault = faults.removeFirstOrNull() ?: AppendFault.NONE
        if (fault == AppendFault.REFUSED) return AppendCallResult.NotAppended("refused")
        if (fault == AppendFault.RECORD_LOST) return AppendCallResult.MaybeAppended("timeout")
        val first = records.size.toLong()
        payloads.forEach { records += (clock.instant() + delay) to LogRecord(records.size.toLong(), it) }
        return if (fault ==
            AppendFault.NONE
        ) {
            AppendCallResult.Appended(first)
        } else {
            AppendCallResult.MaybeAppended("lost")
        }
    }

    override fun read(fromOffset: Long): ReadCallResult {
        if (down) return ReadCallResult.Unreachable("down")
        val visible = records.takeWhile { it.first <= clock.instant() }.map { it.second }
        return ReadCallResult.Page(RecordsPage(visible.drop(fromOffset.toInt()).take(2), 0, visible.size.toLong()))
    }
}
