package org.anvilbarrow.kernel.catalog

import org.anvilbarrow.protocol.log.LogRecord
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.ShardId
import org.anvilbarrow.protocol.model.ShardSpec
import org.anvilbarrow.protocol.model.TeamSpec
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.model.UpstreamSpec
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue

internal class CatalogFoldTest {
    private val team = TeamSpec(weight = 3)

    /** Guards against a scheduler that fails, or stays behind for good, because of one bad record. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "",
            "not JSON",
            "[]",
            """{"type":"nothing"}""",
            """{"type":"change","changeId":"x","kind":"team","name":"a","spec":{"type":"team","colour":1}}""",
            """{"type":"change","changeId":"x","kind":"shard","name":"a","spec":{"type":"team"}}""",
            """{"type":"change","changeId":"","kind":"team","name":"a","spec":{"type":"team"}}""",
            """{"type":"snapshot","snapshotId":"s","asOfOffset":9,"part":1,"parts":1,""" +
                """"objects":[],"recentChanges":[]}""",
            """{"type":"snapshot","snapshotId":"s","asOfOffset":0,"part":2,"parts":1,""" +
                """"objects":[],"recentChanges":[]}""",
        ],
    )
    fun `a record that cannot be decoded is skipped and counted`(payload: String) {
        val script = LogScript().apply { append(payload) }
        expectThat(script.catalog).isEqualTo(Catalog(appliedOffset = 1, skippedRecords = 1))
    }

    @Test
    fun `a gap is reported and nothing after it is applied`() {
        val script = LogScript().apply { repeat(4) { put("c$it", "team-$it", team) } }
        val result = CatalogFold.apply(Catalog(), script.records.take(2) + script.records.last())
        val applied = CatalogFold.apply(Catalog(), script.records.take(2))
        expectThat(result).isEqualTo(FoldResult.Gap(applied.catalog, applied.events, 2, 3))
    }

    /** Guards against serving from a catalog that is older than the log. */
    @Test
    fun `a catalog is current only at a known end and after its snapshot`() {
        val script = LogScript().apply { put("c", "a", team) }
        expectThat(CatalogFold.markCurrent(script.catalog, 2).current).isFalse()
        expectThat(CatalogFold.markCurrent(script.catalog, 1).current).isTrue()
        val restoring = CatalogFold.restartAt(script.catalog, 5)
        expectThat(CatalogFold.markCurrent(restoring, 5).current).isFalse()
        expectThat(restoring.teams).isEqualTo(script.catalog.teams)
        expectThat(restoring.nextOffset).isEqualTo(5)
    }

    /** Guards against a restarted scheduler that decides a repeated change differently from the others. */
    @Test
    fun `the memory of changes is bounded and the same after a snapshot`() {
        val script = LogScript().apply { repeat(CatalogLimits.REMEMBERED_CHANGES + 1) { put("c$it", "a", team) } }
        script.put("c1", "a", TeamSpec(weight = 8))
        expectThat(script.catalog.teams["a"]?.spec).isEqualTo(team)
        val parts = CatalogSnapshots.write(script.catalog, "s")
        val adopted = CatalogFold.adopt(Catalog(), parts.shuffled(kotlin.random.Random(1))).catalog
        expectThat(adopted.recentChanges.values.toList()).isEqualTo(
            script.catalog.recentChanges.values
                .toList(),
        )
        script.put("c0", "a", TeamSpec(weight = 9))
        val tail = listOf(script.records.last())
        expectThat(CatalogFold.apply(adopted, tail).catalog.declared()).isEqualTo(script.catalog.declared())
        expectThat(script.catalog.teams["a"]?.spec).isEqualTo(TeamSpec(weight = 9))
    }

    /** Guards against peer frames over the limit and against a peer's older catalog replacing a newer one. */
    @Test
    fun `snapshot parts are small and an old or incomplete snapshot changes nothing`() {
        val script = LogScript().apply { repeat(1_500) { put("c$it", "team-$it", team) } }
        val parts = CatalogSnapshots.write(script.catalog, "s")
        expectThat(parts.size).isGreaterThan(2)
        expectThat(parts.map { CatalogPayloads.encode(it).length }).all {
            isLessThanOrEqualTo(CatalogLimits.MAX_SNAPSHOT_PART_BYTES)
        }
        expectThat(CatalogFold.adopt(Catalog(), parts).catalog.declared()).isEqualTo(script.catalog.declared())
        expectThat(CatalogFold.adopt(Catalog(), parts.drop(1)).catalog).isEqualTo(Catalog())
        val newer = Catalog(appliedOffset = 9_999)
        expectThat(CatalogFold.adopt(newer, parts).catalog).isEqualTo(newer)
    }

    /** Guards against two schedulers that hold the lease of one anchor at two addresses. */
    @Test
    fun `an anchor keeps its address until the shard names another`() {
        val upstream = UpstreamSpec("10.0.0.1:80", ShardId("s"), "r", "z", Resources(slots = 1))
        val script = LogScript()
        script.put("1", "s", ShardSpec("r", listOf(UpstreamId("u"))))
        script.put("2", "u", upstream)
        script.put("3", "u", upstream.copy(address = "10.0.0.2:80"))
        script.append("""{"type":"change","changeId":"4","kind":"upstream","name":"u","spec":null}""")
        expectThat(script.catalog.upstreams[UpstreamId("u")]).isEqualTo(Versioned(upstream, 1))
        script.put("5", "u", upstream.copy(draining = true))
        script.put("6", "s", ShardSpec("r", emptyList()))
        script.append("""{"type":"change","changeId":"7","kind":"upstream","name":"u","spec":null}""")
        expectThat(script.catalog.upstreams).isEmpty()
    }

    @Test
    fun `the changes held for a snapshot are bounded`() {
        val filled =
            (0L..SnapshotRestore.MAX_BUFFERED).fold(SnapshotRestore(0)) { held, offset ->
                held.plus(LogRecord(offset, ""))
            }
        expectThat(filled.buffered.size).isEqualTo(SnapshotRestore.MAX_BUFFERED)
        expectThat(filled.floorOffset).isEqualTo(1)
        expectThat(CatalogFold.restartAt(Catalog(appliedOffset = 5), 5).restoring).isNull()
    }
}
