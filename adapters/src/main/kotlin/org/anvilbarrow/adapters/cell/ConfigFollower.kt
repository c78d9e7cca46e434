package org.anvilbarrow.adapters.cell

import org.anvilbarrow.kernel.jobs.CellConfig
import org.anvilbarrow.protocol.jobs.KeyedRecord
import java.time.Duration

/**
 * Follows the operators' configuration and records when the store last confirmed the current version.
 *
 * A version is never replaced by an older one. Confined to the thread of [executor], except for [current].
 */
public class ConfigFollower(
    store: CellStore,
    private val catalog: PlatformCatalog,
    private val clock: SuspendAwareClock,
    executor: DelayedExecutor,
    private val onConfig: (CellConfig) -> Unit,
) {
    private var readBegan = clock.read()

    /** False while the newest record cannot be decoded; it may withdraw keys that the current version still holds. */
    private var isReadable = true
    private val follower =
        TopicFollower(
            store,
            catalog.operatorTopic,
            0,
            READ_WAIT,
            Duration.ZERO,
            executor,
            onReadBegins = { readBegan = clock.read() },
            onCurrent = ::confirmed,
        ) { records, _ -> received(records) }

    /** The newest version that was read, or null before the first one. */
    @Volatile
    public var current: ConfirmedConfig? = null
        private set

    public fun start(): Unit = follower.start()

    private fun received(records: List<KeyedRecord>) {
        val configs = records.filter(catalog::isConfig)
        if (configs.isEmpty()) return
        isReadable = catalog.config(configs.last()) != null
        val newest = configs.mapNotNull(catalog::config).maxByOrNull { it.version } ?: return
        if (newest.version <= (current?.config?.version ?: -1)) return
        current = ConfirmedConfig(newest, clock, readBegan)
        onConfig(newest)
    }

    /** The store was read to its end; no version newer than the current one existed when that read began. */
    private fun confirmed() {
        if (isReadable) current = current?.confirmedBy(readBegan)
    }

    private companion object {
        /** Two reads in a row, the second one without an answer, stay below the age at which keys are not accepted. */
        val READ_WAIT: Duration = Duration.ofSeconds(1)
    }
}
