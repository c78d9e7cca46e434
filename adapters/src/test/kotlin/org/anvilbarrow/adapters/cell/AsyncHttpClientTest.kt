package org.anvilbarrow.adapters.cell

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isA
import java.time.Duration
import java.util.concurrent.TimeUnit

@Timeout(20)
internal class AsyncHttpClientTest {
    /** Guards against a caller that waits for ever for the result of a call that could not be made. */
    @TestFactory
    fun `a call that cannot be made is answered`() =
        listOf(
            "TLS, which is not set up" to "https://127.0.0.1:1/",
            "nothing listens" to "http://127.0.0.1:1/",
            "no URL" to "http://127.0.0.1:1/ with spaces",
            "no host" to "http:///path",
        ).map { (name, url) ->
            DynamicTest.dynamicTest(name) {
                AsyncHttpClient("test").use { http ->
                    val reply = http.send(HttpCall("GET", url, Duration.ofSeconds(1)))
                    expectThat(reply.get(WAIT_SECONDS, TimeUnit.SECONDS)).isA<HttpReply.NoAnswer>()
                }
            }
        }

    private companion object {
        const val WAIT_SECONDS = 5L
    }
}
