package org.anvilbarrow.adapters.settings

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.time.Duration

/** Settings of a process that serves durable jobs: every fault is reported with its line. */
class CellSettingsReaderTest {
    private val valid =
        """
        [vm]
        name = edge-1
        region = lappi
        failure-domain = lappi-a
        [listen]
        callers = 10.0.0.1:8161
        probes = 10.0.0.1:8167
        operators = 10.0.0.1:8166
        peers = 10.0.0.1:7720
        [store]
        address = 10.0.0.9:8169
        """.trimIndent()

    private fun read(text: String) = CellSettingsReader("settings.ini", text).read()

    @Test
    fun `defaults are used for what is not set`() {
        val settings = (read(valid) as SettingsResult.Valid).settings
        expectThat(settings).and {
            get { shards }.isEqualTo(1)
            get { advice }.isNull()
            get { stopGrace }.isEqualTo(Duration.ofSeconds(6))
            get { store }.isEqualTo("10.0.0.9:8169")
        }
    }

    @ParameterizedTest
    @CsvSource("'', true", "learn-run-times = true, true", "learn-run-times = false, false")
    fun `run times are learned unless that is switched off`(
        line: String,
        learns: Boolean,
    ) {
        val settings = (read("$valid\n[cell]\n$line") as SettingsResult.Valid).settings
        expectThat(settings.limits.learnsRunTimes).isEqualTo(learns)
    }

    @Test
    fun `a lease is not longer than upstreams accept`() {
        val settings = (read("$valid\n[cell]\nmax-lease = 2000") as SettingsResult.Valid).settings
        expectThat(settings.limits.lease).isEqualTo(Duration.ofMillis(2_000))
    }

    @ParameterizedTest
    @CsvSource(
        "region = lappi, region = La ppi, 3",
        "callers = 10.0.0.1:8161, callers = 10.0.0.1, 6",
        "address = 10.0.0.9:8169, adress = 10.0.0.9:8169, 11",
        "name = edge-1, name = edge-1 | name = edge-1, 3",
    )
    fun `a fault names its line`(
        good: String,
        bad: String,
        line: Int,
    ) {
        val result = read(valid.replace(good, bad.replace(" | ", "\n")))
        // A key with a wrong name is also missing, which is reported with the line of its section.
        expectThat(result).isA<SettingsResult.Invalid>().get { faults.map { it.line } }.contains(line)
    }

    @Test
    fun `all missing keys are reported at once`() {
        expectThat(read("[vm]\nname = edge-1")).isA<SettingsResult.Invalid>().get { faults }.hasSize(7)
    }
}
