package org.anvilbarrow.adapters.settings

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration

class SettingsReaderTest {
    private val valid =
        """
        [scheduler]
        id = lappi-a-1
        region = lappi-a
        failure-domain = lappi-a-z1
        stop-grace = 30
        [caller]
        address = 10.0.0.4:7200
        max-body = 1
        [peers]
        address = 10.0.0.4:7300
        [peer lappi-a-2]
        address = 10.0.0.5:7300
        region = lappi-a
        [log]
        url = http://10.0.0.9:7000/
        [vm-list]
        url = http://10.0.0.9:7001
        """.trimIndent()

    /** Guards against values that are read into the wrong place or unit. */
    @Test
    fun `valid settings are understood`() {
        expectThat(read(valid)).isA<SettingsResult.Valid<SchedulerSettings>>().get { settings }.and {
            get { id.value }.isEqualTo("lappi-a-1")
            get { caller }.isEqualTo(ListenAddress("10.0.0.4", 7_200))
            get { callerLimits.maxBodyBytes }.isEqualTo(1_024)
            get { process.stopGrace }.isEqualTo(Duration.ofSeconds(30))
            get { peers.map { "${it.id} ${it.host}:${it.port} ${it.region}" } }
                .containsExactly("lappi-a-2 10.0.0.5:7300 lappi-a")
            get { logUrl }.isEqualTo("http://10.0.0.9:7000")
        }
    }

    private data class Case(
        val name: String,
        val text: String,
        val fault: String,
    )

    private val faultCases =
        listOf(
            Case(
                "not a number",
                edit("stop-grace = 30", "stop-grace = soon"),
                "s.ini:5: [scheduler] stop-grace is 'soon'; allowed: 1 to 86400",
            ),
            Case(
                "out of range",
                edit("stop-grace = 30", "stop-grace = 0"),
                "s.ini:5: [scheduler] stop-grace is '0'; allowed: 1 to 86400",
            ),
            Case("no value", edit("id = lappi-a-1", "id"), "s.ini:2: [scheduler] id is ''; allowed: $NAME_RULE"),
            Case(
                "missing",
                edit("region = lappi-a\nfailure", "failure"),
                "s.ini:1: [scheduler] region is missing; allowed: $NAME_RULE",
            ),
            Case(
                "missing in a peer",
                edit("region = lappi-a\n[log]", "[log]"),
                "s.ini:11: [peer lappi-a-2] region is missing; allowed: $NAME_RULE",
            ),
            Case(
                "unknown key",
                edit("max-body = 1", "maxbody = 1"),
                "s.ini:8: [caller] maxbody is '1'; allowed: keys address, max-body, max-requests, idle-timeout",
            ),
            Case(
                "repeated key",
                edit("max-body = 1", "max-body = 1\nmax-body = 2"),
                "s.ini:9: [caller] max-body is '2'; allowed: the key only once",
            ),
            Case(
                "port",
                edit("10.0.0.4:7300", "10.0.0.4:70000"),
                "s.ini:10: [peers] address is '10.0.0.4:70000'; allowed: $ADDRESS_RULE",
            ),
            Case(
                "own id as peer",
                edit("[peer lappi-a-2]", "[peer lappi-a-1]"),
                "s.ini:11: [peer lappi-a-1] is 'lappi-a-1'; allowed: ids of other schedulers only",
            ),
            Case(
                "url",
                edit("http://10.0.0.9:7001", "10.0.0.9:7001"),
                "s.ini:17: [vm-list] url is '10.0.0.9:7001'; allowed: $URL_RULE",
            ),
            Case(
                "unreadable line",
                edit("[caller]", "[caller"),
                "s.ini:6: the line is 'not readable'; allowed: [section], key = value, or ; comment",
            ),
        )

    /** Guards against faults that are not found, or whose report does not lead to the line. */
    @TestFactory
    fun `a fault names file, line, key, value and what is allowed`() =
        faultCases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                expectThat(read(case.text))
                    .isA<SettingsResult.Invalid>()
                    .get { faults.map { it.toString() } }
                    .contains(case.fault)
            }
        }

    /** Guards against operators who have to find faults one run at a time. */
    @Test
    fun `all faults are reported at once and in the order of the file`() {
        val text = valid.replace("stop-grace = 30", "stop-grace = 0").replace("max-body = 1", "max-body = -1")
        expectThat(read(text)).isA<SettingsResult.Invalid>().get { faults.map { it.line } }.containsExactly(5, 8)
    }

    /** Guards against a page that no longer matches what the program reads. */
    @Test
    fun `the settings page holds the table of the program`() {
        val page = Files.readString(Path.of("..", "docs", "settings.md"))
        expectThat(page).contains(SettingKeys.markdown())
    }

    private fun edit(
        old: String,
        new: String,
    ): String = valid.replaceFirst(old, new).also { check(it != valid) { "'$old' is not in the settings" } }

    private fun read(text: String): SettingsResult<SchedulerSettings> = SettingsReader("s.ini", text).read()
}
