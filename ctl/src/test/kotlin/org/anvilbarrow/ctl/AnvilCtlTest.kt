package org.anvilbarrow.ctl

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.nio.file.Path
import kotlin.io.path.writeText

/** Guards against scripts that take a failed change for a made one. */
internal class AnvilCtlTest {
    @TempDir
    lateinit var directory: Path

    private fun run(
        cell: FakeCell,
        vararg args: String,
    ): CliktCommandTestResult = anvilCtl().test(listOf("--server", cell.url) + args)

    private fun problem(error: String) = """{"error":"$error","detail":"why","changeId":"c-1"}"""

    @TestFactory
    fun `exit codes`(): List<DynamicTest> =
        listOf(
            Triple(200, FakeCell.ACCEPTED, 0),
            Triple(400, problem("invalid"), 2),
            Triple(404, problem("not_found"), 3),
            Triple(412, problem("conflict"), 4),
            Triple(504, problem("unknown_outcome"), 5),
            Triple(503, problem("refused"), 6),
            Triple(500, "no JSON", 9),
            Triple(200, "{}", 9),
        ).map { (status, body, exit) ->
            dynamicTest("$status $body ends with $exit") {
                FakeCell(mapOf("DELETE" to (status to body))).use { cell ->
                    expectThat(run(cell, "delete", "teams", "a").statusCode).isEqualTo(exit)
                }
            }
        }

    @Test
    fun `the next server is tried and a silent cell is explained`() {
        val closed = FakeCell().apply { close() }
        val refusing = FakeCell(mapOf("GET" to (503 to problem("refused"))))
        FakeCell(mapOf("GET" to (200 to FakeCell.TEAM))).use { cell ->
            val servers = listOf(closed, refusing, cell).flatMap { listOf("--server", it.url) }
            val result = anvilCtl().test(servers + listOf("get", "teams", "a"))
            expectThat(result.output).isEqualTo("NAME  VERSION  WEIGHT\na     7        3\n")
        }
        refusing.close()
        val result = run(closed, "get", "teams", "a")
        expectThat(result.statusCode).isEqualTo(7)
        expectThat(result.stderr).contains("no scheduler answers").contains(closed.url).contains("--server")
    }

    @Test
    fun `a new shard is applied without anchors before its upstreams`() {
        val shard = """{"kind":"shard","name":"s","spec":{"region":"r","anchors":["u"]}}"""
        val upstream = """{"kind":"upstream","name":"u","spec":{"shard":"s"}}"""
        val region = """{"kind":"region","name":"r","spec":{"homeShards":["s"]}}"""
        val file = directory.resolve("cell.json").apply { writeText("[$region,$upstream,$shard]") }.toString()
        FakeCell(mapOf("PUT" to (200 to FakeCell.ACCEPTED))).use { cell ->
            expectThat(run(cell, "apply", "-f", file, "--dry-run").statusCode).isEqualTo(0)
            expectThat(cell.calls.filter { it.startsWith("PUT") }).isEmpty()
            expectThat(run(cell, "apply", "-f", file).statusCode).isEqualTo(0)
            expectThat(cell.calls.filter { it.startsWith("PUT") }).containsExactly(
                """PUT /v1/shards/s {"region":"r","anchors":[]}""",
                """PUT /v1/upstreams/u {"shard":"s"}""",
                """PUT /v1/shards/s {"region":"r","anchors":["u"]}""",
                """PUT /v1/regions/r {"homeShards":["s"]}""",
            )
        }
    }

    @TestFactory
    fun `input that is refused before anything is sent`(): List<DynamicTest> =
        listOf(
            "no JSON" to "{",
            "an unknown kind" to """{"kind":"planet","name":"a","spec":{}}""",
            "an unknown field" to """{"kind":"team","name":"a","spec":{},"colour":1}""",
            "an object twice" to """[{"kind":"team","name":"a","spec":{}},{"kind":"team","name":"a","spec":{}}]""",
        ).map { (case, text) ->
            dynamicTest(case) {
                val file = directory.resolve("bad.json").apply { writeText(text) }.toString()
                FakeCell().use { cell ->
                    expectThat(run(cell, "apply", "-f", file).statusCode).isEqualTo(2)
                    expectThat(cell.calls).isEmpty()
                }
            }
        }

    @Test
    fun `a watch goes on after the last event until its version is too old`() {
        val event = """{"type":"created","version":4,"kind":"team","name":"a","spec":{"weight":3}}""" + "\n"
        val tooOld = """{"error":"too_old","detail":"list again"}"""
        val answers = mapOf("GET /v1/watch?from=2" to (200 to event), "GET /v1/watch?from=5" to (410 to tooOld))
        FakeCell(answers).use { cell ->
            val result = run(cell, "watch", "--from", "2")
            expectThat(result.statusCode).isEqualTo(8)
            expectThat(result.stdout).startsWith("4  created  team a")
        }
    }
}
