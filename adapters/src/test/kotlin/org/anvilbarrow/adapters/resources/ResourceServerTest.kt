package org.anvilbarrow.adapters.resources

import org.anvilbarrow.adapters.http.CallerServer
import org.anvilbarrow.adapters.platform.HttpLogClient
import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.model.UpstreamId
import org.anvilbarrow.protocol.resources.WatchLine
import org.anvilbarrow.standins.log.LogSettings
import org.anvilbarrow.standins.log.LogStandIn
import org.http4k.routing.routes
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.net.InetSocketAddress
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.time.InstantSource

/** The resource interface over real connections and the stand-in of the log. */
@Timeout(30)
internal class ResourceServerTest {
    private val client = HttpClient.newHttpClient()
    private val drains = mutableListOf<UpstreamId>()

    private inner class Scheduler(
        logPort: Int,
    ) : AutoCloseable {
        private val clock = InstantSource.system()
        private val limits = ResourceLimits(logPoll = Duration.ofMillis(20))
        private val log = HttpLogClient("http://127.0.0.1:$logPort")
        private val view = CatalogView(log, clock, limits = limits)
        private val changes = ChangeService(log, { emptyList() }, view, clock, limits, onDrain = drains::add)
        private val resources = ResourceRoutes(changes, view, clock, limits)
        private val server =
            CallerServer(InetSocketAddress.createUnresolved("127.0.0.1", 0), routes(resources.routes))
        private val port = server.start()

        fun call(
            method: String,
            path: String,
            body: String = "",
        ): Int = client.send(request(method, path, body), HttpResponse.BodyHandlers.discarding()).statusCode()

        fun watch(from: Long): Iterator<WatchLine> =
            client
                .send(request("GET", "/v1/watch?from=$from", ""), HttpResponse.BodyHandlers.ofLines())
                .body()
                .map { strictJson.decodeFromString(WatchLine.serializer(), it) }
                .iterator()

        private fun request(
            method: String,
            path: String,
            body: String,
        ) = HttpRequest
            .newBuilder(URI("http://127.0.0.1:$port$path"))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build()

        override fun close() {
            resources.close()
            server.close()
            log.close()
        }
    }

    /** Guards against a change that only the scheduler that made it shows. */
    @Test
    fun `a change at one scheduler reaches the watch of another at once`(): Unit =
        LogStandIn().use { log ->
            val port = log.start()
            Scheduler(port).use { one ->
                Scheduler(port).use { other ->
                    val watch = other.watch(0)
                    val upstream = """{"address":"10.0.0.1:80","shard":"s","rack":"r","failureDomain":"z","""
                    val answers =
                        listOf(
                            one.call("PUT", "/v1/shards/s", """{"region":"lappi-a","anchors":[]}"""),
                            one.call("PUT", "/v1/upstreams/u", """$upstream"capacity":{"slots":8}}"""),
                            one.call("POST", "/v1/upstreams/u/drain"),
                            other.call("PUT", "/v1/regions/lappi-a", """{"homeShards":["s"]}"""),
                        )
                    expectThat(answers).containsExactly(200, 200, 200, 200)
                    expectThat(List(5) { watch.next().name }).containsExactly(null, "s", "u", "u", "lappi-a")
                    expectThat(drains).containsExactly(UpstreamId("u"))
                }
            }
        }

    /** Guards against a scheduler that starts after the first records are gone and shows part of the catalog. */
    @Test
    fun `a scheduler without a snapshot on the log is not current`(): Unit =
        LogStandIn(LogSettings(retainedRecords = 2)).use { log ->
            val port = log.start()
            Scheduler(port).use { one ->
                repeat(4) { expectThat(one.call("PUT", "/v1/teams/team-$it", "{}")).isEqualTo(200) }
                expectThat(one.call("GET", "/v1/teams/team-0")).isEqualTo(200)
                Scheduler(port).use { late -> expectThat(late.call("GET", "/v1/teams/team-3")).isGreaterThan(499) }
            }
        }
}
