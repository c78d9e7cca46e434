package org.anvilbarrow.adapters.resources

import org.anvilbarrow.kernel.catalog.CatalogPayloads
import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.log.CatalogPayload
import org.anvilbarrow.protocol.model.TeamSpec
import org.anvilbarrow.protocol.resources.ResourceProblem
import org.anvilbarrow.protocol.resources.WatchLine
import org.anvilbarrow.protocol.resources.WatchLineType
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.routing.routes
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.io.BufferedReader

internal class ResourceRoutesTest {
    private val clock = FakeClock()
    private val log = FakeLogClient(clock)
    private val limits = ResourceLimits(watchHistory = 5, watchBatch = 2, maxWatches = 2)

    private inner class Scheduler {
        val view = CatalogView(log, clock, limits = limits, pause = clock::advance)
        val resources = ResourceRoutes(ChangeService(log, { emptyList() }, view, clock, limits), view, clock, limits)
        private val handler = routes(resources.routes)

        fun call(
            method: Method,
            path: String,
            body: String = "",
            headers: List<Pair<String, String>> = emptyList(),
        ): Response =
            handler(headers.fold(Request(method, path).body(body)) { r, (name, value) -> r.header(name, value) })

        fun watch(from: Long): BufferedReader =
            call(Method.GET, "/v1/watch?from=$from").body.stream.bufferedReader().also { opened ->
                expectThat(opened.lines(1).single()).isEqualTo(WatchLine(WatchLineType.PROGRESS, from))
            }
    }

    private val scheduler = Scheduler()
    private val teamJson = """{"weight":3}"""

    private fun putTeams(count: Int) = repeat(count) { scheduler.call(Method.PUT, "/v1/teams/team-$it", teamJson) }

    private fun BufferedReader.lines(count: Int) = List(count) { strictJson.decodeFromString<WatchLine>(readLine()) }

    /** Guards against input that is half understood: each fault names the field, the value and the limit. */
    @TestFactory
    fun `bad input`(): List<DynamicTest> {
        val workload = """"workloadKind":"service","region":"r""""
        return listOf(
            bad("no JSON", "/v1/teams/a", "{", "body"),
            bad("no object", "/v1/teams/a", "[]", "spec"),
            bad("an unknown field", "/v1/teams/a", """{"colour":1}""", "spec.colour"),
            bad("the type of another object", "/v1/teams/a", """{"type":"shard"}""", "spec.type"),
            bad("a string for a number", "/v1/teams/a", """{"weight":"3"}""", "spec.weight"),
            bad("a number over 32 bits", "/v1/teams/a", """{"weight":3000000000}""", "spec.weight"),
            bad(
                "an unknown nested field",
                "/v1/workloads/a",
                """{$workload,"resources":{"gpu":1}}""",
                "spec.resources.gpu",
            ),
            bad("a missing field", "/v1/workloads/a", """{$workload}""", "spec.resources"),
            bad("an unknown kind of workload", "/v1/workloads/a", """{"workloadKind":"x"}""", "spec.workloadKind"),
            bad("null for a number", "/v1/teams/a", """{"weight":null}""", "spec.weight"),
            bad("a weight of 0", "/v1/teams/a", """{"weight":0}""", "weight"),
            bad("a name with capitals", "/v1/teams/A", teamJson, "name"),
            bad("a body over the limit", "/v1/teams/a", " ".repeat(limits.maxBodyBytes + 1), "body"),
        )
    }

    private fun bad(
        case: String,
        path: String,
        body: String,
        field: String,
    ) = dynamicTest(case) {
        val answer = scheduler.call(Method.PUT, path, body)
        expectThat(answer.status.code).isEqualTo(400)
        val problem = strictJson.decodeFromString<ResourceProblem>(answer.bodyString())
        expectThat(problem.faults.map { it.field }).contains(field)
    }

    @Test
    fun `objects are created, read, replaced and deleted under conditions`() {
        val cases =
            listOf(
                Triple(Method.GET, listOf<Pair<String, String>>(), 404),
                Triple(Method.PUT, listOf("If-None-Match" to "*"), 200),
                Triple(Method.PUT, listOf("If-None-Match" to "*"), 412),
                Triple(Method.PUT, listOf("If-Match" to "\"7\""), 412),
                Triple(Method.PUT, listOf("If-Match" to "\"1\"", "Change-Id" to "c"), 200),
                Triple(Method.PUT, listOf("If-Match" to "\"1\"", "Change-Id" to "c"), 200),
                Triple(Method.PUT, listOf("If-Match" to "x"), 400),
                Triple(Method.PUT, listOf("Change-Id" to "c".repeat(129)), 400),
                Triple(Method.GET, listOf(), 200),
                Triple(Method.DELETE, listOf("If-Match" to "2"), 200),
                Triple(Method.DELETE, listOf(), 404),
            )
        val answers = cases.map { (method, headers) -> scheduler.call(method, "/v1/teams/a", teamJson, headers) }
        expectThat(answers.map { it.status.code }).isEqualTo(cases.map { it.third })
        expectThat(answers[8].header("ETag")).isEqualTo("\"2\"")
    }

    @Test
    fun `a list is filtered by selectors and unknown ones are errors`() {
        putTeams(3)
        expectThat(scheduler.call(Method.GET, "/v1/teams?weight=3&name=team-1").bodyString()).contains("\"version\":4")
        expectThat(scheduler.call(Method.GET, "/v1/teams?colour=3").status.code).isEqualTo(400)
        expectThat(scheduler.call(Method.GET, "/v1/planets").status.code).isEqualTo(404)
        expectThat(scheduler.call(Method.POST, "/v1/upstreams/u/drain").status.code).isEqualTo(404)
    }

    /** Guards against a scheduler that answers from a catalog it has not read yet. */
    @Test
    fun `nothing is served or accepted before the log was read`() {
        log.down = true
        listOf(Method.GET, Method.PUT).forEach {
            val answer = scheduler.call(it, "/v1/teams/a", teamJson)
            expectThat(answer.status.code).isEqualTo(503)
            expectThat(answer.header("Retry-After")).isEqualTo("5")
        }
    }

    /** Guards against missing or repeated events when a watch moves to another scheduler. */
    @Test
    fun `a watch goes on at another scheduler without a gap`() {
        putTeams(5)
        val first = scheduler.watch(0).lines(2)
        val rest = Scheduler().watch(first.last().version + 1).lines(4)
        expectThat((first + rest).map { it.version }).containsExactly(1, 2, 3, 4, 5, 6)
        expectThat(rest.last().type).isEqualTo(WatchLineType.PROGRESS)
    }

    @Test
    fun `a watch from a version that is no longer kept is told to list again`() {
        putTeams(8)
        expectThat(scheduler.call(Method.GET, "/v1/watch?from=1").status.code).isEqualTo(410)
        expectThat(scheduler.call(Method.GET, "/v1/watch?from=-1").status.code).isEqualTo(400)
        expectThat(scheduler.call(Method.GET, "/v1/watch?from=4").status.code).isEqualTo(200)
    }

    /** Guards against a watch that holds memory without bound, or that loses events in silence. */
    @Test
    fun `a slow watch is dropped with a reason and closed watches make room`() {
        putTeams(2)
        val slow = scheduler.watch(0)
        slow.lines(2)
        val other = scheduler.watch(0)
        expectThat(scheduler.call(Method.GET, "/v1/watch?from=0").status.code).isEqualTo(503)
        other.close()
        repeat(8) { append("late-$it") }
        scheduler.view.readNow()
        val last = slow.lines(1).single()
        expectThat(last.type).isEqualTo(WatchLineType.DROPPED)
        expectThat(slow.readLine()).isEqualTo(null)
        scheduler.resources.close()
        expectThat(
            scheduler
                .watch(20)
                .lines(1)
                .single()
                .type,
        ).isEqualTo(WatchLineType.DROPPED)
    }

    private fun append(id: String) {
        val change = CatalogPayload.ResourceChange(id, "team", "t", TeamSpec())
        log.append(listOf(CatalogPayloads.encode(change)))
    }
}
