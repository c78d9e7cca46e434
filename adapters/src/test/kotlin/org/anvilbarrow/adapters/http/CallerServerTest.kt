package org.anvilbarrow.adapters.http

import org.anvilbarrow.protocol.model.Outcome
import org.anvilbarrow.protocol.model.RefusalReason
import org.anvilbarrow.protocol.model.WorkRequest
import org.http4k.core.Method
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import java.io.IOException
import java.io.InputStream
import java.io.SequenceInputStream
import java.net.InetSocketAddress
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration
import java.time.Instant
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

class CallerServerTest {
    private val http = HttpClient.newHttpClient()
    private val work = ScriptedWork()
    private var notReady: String? = null
    private val limits = CallerLimits(maxExchanges = 1, idleTimeout = Duration.ofSeconds(1))
    private val extra = listOf("/v1/extra" bind Method.GET to { Response(Status.OK).body("extra") })
    private val routes = CallerRoutes(work, { notReady }, { "metric 1\n" }, limits, extra)
    private val server = CallerServer(InetSocketAddress.createUnresolved("127.0.0.1", 0), routes.handler(), limits)
    private val port = server.start()

    @AfterEach
    fun close() = server.close()

    /** Guards against answers that are held back until they are complete. */
    @Test
    fun `an answer reaches the caller while it is still being made`() {
        val more = CountDownLatch(1)
        work.answer = { streamed(SequenceInputStream("first".byteInputStream(), GatedStream(more))) }
        val body = http.send(request(), BodyHandlers.ofInputStream()).body()
        expectThat(String(body.readNBytes(5))).isEqualTo("first")
        more.countDown()
        expectThat(String(body.readAllBytes())).isEqualTo("last")
    }

    /** Guards against a part of an answer that looks like the whole (P3). */
    @Test
    fun `an answer that breaks off is an error to the caller`() {
        work.answer = { streamed(SequenceInputStream("first".byteInputStream(), BrokenStream)) }
        expectCatching { http.send(request(), BodyHandlers.ofString()) }.isFailure().isA<IOException>()
    }

    /** Guards against an idle limit that cuts off a request that waits for its turn (P7). */
    @Test
    fun `a request that waits longer than the idle limit gets its answer`() {
        work.answer = {
            CountDownLatch(1).await(limits.idleTimeout.toMillis() * 2, TimeUnit.MILLISECONDS)
            streamed("late".byteInputStream())
        }
        expectThat(http.send(request(), BodyHandlers.ofString()).body()).isEqualTo("late")
    }

    /** Guards against requests without bound, and against a place that is not given back. */
    @Test
    fun `a request over the limit is refused as not run, and the next one is served`() {
        val entered = CountDownLatch(1)
        val release = CountDownLatch(1)
        work.answer = {
            entered.countDown()
            release.await()
            CallerAnswer.Final(Outcome.Refused(RefusalReason.NO_HOME))
        }
        val first = CompletableFuture.supplyAsync { http.send(request(), BodyHandlers.ofString()) }
        entered.await()
        val second = http.send(request(), BodyHandlers.ofString())
        release.countDown()
        expectThat(second.body()).contains(""""reason":"queue_full","ran":false""")
        expectThat(first.get().body()).contains("no_home")
        expectThat(http.send(request(), BodyHandlers.ofString()).body()).contains("no_home")
    }

    /** Guards against traffic that a balancer sends to a process that cannot serve it. */
    @Test
    fun `probes and further routes answer`() {
        expectThat(get("/health").statusCode()).isEqualTo(200)
        expectThat(get("/ready").statusCode()).isEqualTo(200)
        expectThat(get("/metrics").body()).isEqualTo("metric 1\n")
        expectThat(get("/v1/extra").body()).isEqualTo("extra")
        notReady = "a planned stop has begun"
        expectThat(get("/ready").statusCode()).isEqualTo(503)
    }

    private fun get(path: String) =
        http.send(HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path")).build(), BodyHandlers.ofString())

    private fun request(): HttpRequest =
        HttpRequest
            .newBuilder(URI("http://127.0.0.1:$port/v1/workloads/map-tiles/requests"))
            .header("Request-Id", "a-1")
            .header("Request-Issued-At", Instant.parse("2026-08-07T10:00:00Z").toString())
            .header("Request-Deadline", Instant.parse("2026-08-07T10:00:05Z").toString())
            .POST(HttpRequest.BodyPublishers.ofString("body"))
            .build()

    private fun streamed(body: InputStream) = CallerAnswer.Streamed(1, 200, "text/plain", body)

    private class ScriptedWork : WorkHandler {
        @Volatile
        var answer: () -> CallerAnswer = { error("no answer is scripted") }

        override fun handle(
            request: WorkRequest,
            body: RequestBody,
        ): CallerAnswer = answer()

        override fun callerGone(answer: CallerAnswer.Streamed): Unit = Unit
    }

    private class GatedStream(
        private val gate: CountDownLatch,
    ) : InputStream() {
        private val rest = "last".byteInputStream()

        override fun read(): Int {
            gate.await()
            return rest.read()
        }
    }

    private object BrokenStream : InputStream() {
        override fun read(): Int = throw IOException("the upstream closed the connection")
    }
}
