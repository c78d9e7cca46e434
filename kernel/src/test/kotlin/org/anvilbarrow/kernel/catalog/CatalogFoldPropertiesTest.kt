package org.anvilbarrow.kernel.catalog

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.constraints.IntRange
import org.anvilbarrow.protocol.log.LogRecord
import org.anvilbarrow.protocol.model.TeamSpec
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty

/** Guards against two schedulers that read the same log and hold different catalogs. */
internal class CatalogFoldPropertiesTest {
    @Property(seed = "1701", tries = 300)
    fun readersAgreeWhateverTheBatchesAndHoweverOftenRecordsAreRepeated(
        @ForAll("choices") choices: List<Int>,
        @ForAll("cuts") cuts: List<Int>,
    ) {
        val script = LogScript().apply { appendAll(choices) }
        val events = mutableListOf<CatalogEvent>()
        val late =
            cuts.fold(Catalog()) { catalog, cut ->
                val batch = script.records.drop(cut / 2).take(cut)
                CatalogFold.apply(catalog, batch).also { events += it.events }.catalog
            }
        val read = CatalogFold.apply(late, script.records).also { events += it.events }.catalog
        expectThat(read).isEqualTo(script.catalog)
        expectThat(CatalogFold.apply(read, script.records).catalog).isEqualTo(script.catalog)
        expectThat(events).isEqualTo(script.events)
    }

    @Property(seed = "1702", tries = 200)
    fun racingConditionalChangesHaveExactlyOneWinner(
        @ForAll("choices") choices: List<Int>,
        @ForAll @IntRange(min = 2, max = 6) writers: Int,
    ) {
        val script = LogScript()
        script.append("an object whose version is offset 0 matches no condition")
        script.appendAll(choices)
        val before = script.events.size
        val version = script.catalog.teams["team-0"]?.version ?: 0
        val first = script.records.size.toLong()
        repeat(writers) { script.put("racer-$it", "team-0", TeamSpec(weight = it + 1), version) }
        expectThat(script.events.drop(before).map { it.version }).containsExactly(first)
        expectThat(script.catalog.teams["team-0"]).isEqualTo(Versioned(TeamSpec(weight = 1), first))
    }

    @Property(seed = "1703", tries = 200)
    fun aChangeThatIsAppendedAgainAfterALostAnswerChangesTheObjectOnce(
        @ForAll("choices") before: List<Int>,
        @ForAll("choices") between: List<Int>,
    ) {
        val script = LogScript().apply { appendAll(before) }
        script.put("lost", "mine", TeamSpec(weight = 5))
        script.appendAll(between.map { it / 10 * 10 + if (it % 10 == 6) 9 else it % 10 })
        script.put("lost", "mine", TeamSpec(weight = 5))
        expectThat(script.events.filter { it.name == "mine" }).hasSize(1)
        expectThat(script.catalog.recentChanges["lost"]?.accepted).isEqualTo(true)
    }

    @Property(seed = "1704", tries = 300)
    fun aSnapshotAndTheRecordsAfterItGiveTheCatalogOfTheWholeLog(
        @ForAll("choices") choices: List<Int>,
        @ForAll @IntRange(min = 0, max = 80) start: Int,
        @ForAll @IntRange(min = 1, max = 9) batch: Int,
    ) {
        val script = LogScript().apply { appendAll(choices) }
        script.finishSnapshots()
        script.beginSnapshot()
        script.put("during", "team-1", TeamSpec(weight = 77))
        script.finishSnapshots()
        expectThat(script.snapshots).isNotEmpty()
        val first = minOf(start.toLong(), script.snapshots.max())
        val kept = script.records.drop(first.toInt())
        val restored = readInBatches(CatalogFold.restartAt(Catalog(), first), kept, batch)
        expectThat(restored.declared()).isEqualTo(script.catalog.declared())
        val behind = CatalogFold.apply(Catalog(), script.records.take(first.toInt() / 2)).catalog
        val caughtUp = readInBatches(CatalogFold.restartAt(behind, first), kept, batch)
        expectThat(caughtUp.declared()).isEqualTo(script.catalog.declared())
    }

    @Provide
    fun choices(): Arbitrary<List<Int>> =
        Arbitraries
            .integers()
            .between(0, 999)
            .list()
            .ofMaxSize(80)

    @Provide
    fun cuts(): Arbitrary<List<Int>> =
        Arbitraries
            .integers()
            .between(0, 80)
            .list()
            .ofMaxSize(20)

    private fun readInBatches(
        catalog: Catalog,
        records: List<LogRecord>,
        batch: Int,
    ) = records.chunked(batch).fold(catalog) { read, part -> CatalogFold.apply(read, part).catalog }
}
