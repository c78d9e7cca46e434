package org.anvilbarrow.kernel.proof

import org.anvilbarrow.kernel.catalog.Catalog
import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.log.CatalogPayload
import org.anvilbarrow.protocol.log.LogRecord
import org.anvilbarrow.protocol.model.ResourceSpec

/** The platform's log: keeps every record and folds nothing. */
internal class FakeLog {
    private val records = ArrayList<LogRecord>()
    var reachable = true
    var slow = false

    val endOffset: Long
        get() = records.size.toLong()

    fun append(payload: String) {
        records.add(LogRecord(endOffset, payload))
    }

    fun append(payload: CatalogPayload) = append(strictJson.encodeToString(CatalogPayload.serializer(), payload))

    /** Returns a page of at most [PAGE] records from [offset] on. */
    fun read(offset: Long): List<LogRecord> =
        records
            .subList(offset.toInt().coerceAtMost(records.size), (offset.toInt() + PAGE).coerceAtMost(records.size))
            .toList()

    private companion object {
        /** Small, so that a catalog is read in several pages. */
        const val PAGE = 7
    }
}

/** Objects by kind and name, each with its version, as the rules of section 8 of the design page define them. */
internal typealias Objects = Map<Pair<String, String>, Pair<ResourceSpec, Long>>

/** An independent fold of the log against which the catalogs of schedulers are compared. */
internal class ReferenceCatalog {
    private val byOffset = arrayListOf<Objects>(emptyMap())
    private val seen = HashSet<String>()

    /** Returns the objects after all records before [offset]. */
    fun at(offset: Long): Objects? = byOffset.getOrNull(offset.toInt())

    /** Folds the records that [log] has and this catalog has not seen yet. */
    fun follow(log: FakeLog) {
        while (byOffset.size <= log.endOffset) {
            val offset = byOffset.size - 1L
            byOffset.add(fold(byOffset.last(), offset, log.read(offset).first().payload))
        }
    }

    private fun fold(
        objects: Objects,
        offset: Long,
        payload: String,
    ): Objects {
        val change = strictJson.decodeFromString(CatalogPayload.serializer(), payload)
        if (change !is CatalogPayload.ResourceChange || !seen.add(change.changeId)) return objects
        val key = change.kind to change.name
        val version = objects[key]?.second ?: 0L
        val spec = change.spec
        return when {
            change.expectedVersion != null && change.expectedVersion != version -> objects
            change.kind == "region" && key in objects -> objects
            spec == null -> objects - key
            else -> objects + (key to (spec to offset))
        }
    }
}

/** The content of a scheduler's catalog in the form of [ReferenceCatalog]. */
internal fun Catalog.objects(): Objects =
    buildMap {
        workloads.forEach { (name, it) -> put("workload" to name, it.spec to it.version) }
        upstreams.forEach { (id, it) -> put("upstream" to id.value, it.spec to it.version) }
        shards.forEach { (id, it) -> put("shard" to id.value, it.spec to it.version) }
        regions.forEach { (name, it) -> put("region" to name, it.spec to it.version) }
        teams.forEach { (name, it) -> put("team" to name, it.spec to it.version) }
    }
