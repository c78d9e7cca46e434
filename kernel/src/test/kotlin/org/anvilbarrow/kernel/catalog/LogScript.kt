package org.anvilbarrow.kernel.catalog

import org.anvilbarrow.protocol.log.CatalogPayload
import org.anvilbarrow.protocol.log.LogRecord
import org.anvilbarrow.protocol.model.ResourceSpec
import org.anvilbarrow.protocol.model.TeamSpec

/** A log under construction and the catalog of a reader that saw every record one by one. */
internal class LogScript {
    val records = mutableListOf<LogRecord>()
    val events = mutableListOf<CatalogEvent>()
    var catalog = Catalog()
        private set

    /** Offsets of complete snapshots. */
    val snapshots = mutableListOf<Long>()
    private val unwritten = mutableListOf<CatalogPayload.Snapshot>()

    fun append(payload: String) {
        val record = LogRecord(records.size.toLong(), payload)
        records += record
        val result = CatalogFold.apply(catalog, listOf(record))
        catalog = result.catalog
        events += result.events
    }

    fun put(
        changeId: String,
        name: String,
        spec: ResourceSpec?,
        expected: Long? = null,
    ) = append(
        CatalogPayloads.encode(
            CatalogPayload.ResourceChange(
                changeId,
                if (spec == null) "team" else ResourceKind.of(spec).label,
                name,
                spec,
                expected,
            ),
        ),
    )

    /** Starts a snapshot whose parts are appended one by one by [appendPart], between other records. */
    fun beginSnapshot() {
        unwritten += CatalogSnapshots.write(catalog, "s${records.size}", SMALL_PART_BYTES)
    }

    fun appendPart() {
        val part = unwritten.removeFirstOrNull() ?: return
        append(CatalogPayloads.encode(part))
        if (catalog.snapshots.lastAsOfOffset == part.asOfOffset) snapshots += part.asOfOffset
    }

    fun finishSnapshots() = repeat(unwritten.size) { appendPart() }

    /** Appends what the random numbers [choices] say: changes of few objects, repeated ids, garbage and snapshots. */
    fun appendAll(choices: List<Int>) =
        choices.forEachIndexed { index, choice ->
            val name = "team-${choice / 10 % 3}"
            val version = catalog.teams[name]?.version ?: 0
            val id = if (choice % 7 == 0) "id-${choice % 5}" else "id-$index-$choice"
            when (choice % 10) {
                0 -> append("{\"type\":\"change\",\"broken\":$choice}")
                1 -> put(id, name, null)
                2 -> put(id, name, TeamSpec(weight = choice), expected = 0)
                3, 4 -> put(id, name, TeamSpec(weight = choice), expected = version)
                5 -> put(id, name, null, expected = version)
                6 -> beginSnapshot()
                7 -> appendPart()
                8 -> put(id, name, TeamSpec(weight = choice), expected = version - 1)
                else -> put(id, name, TeamSpec(weight = choice))
            }
        }

    companion object {
        /** Room for two or three objects beside a part's fixed fields. */
        private const val SMALL_PART_BYTES = 800
    }
}

/** What a reader that began at a snapshot must agree on with one that read everything. */
internal fun Catalog.declared(): Catalog = copy(skippedRecords = 0, current = false)
