package org.anvilbarrow.scheduler.logging

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.util.LogbackMDCAdapter
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.anvilbarrow.adapters.settings.LogFormat
import org.anvilbarrow.adapters.telemetry.LogOutput
import org.anvilbarrow.protocol.codec.strictJson
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.single
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.io.PrintStream
import java.util.concurrent.CountDownLatch
import java.util.concurrent.locks.LockSupport

@Timeout(20)
internal class LogConfigurationTest {
    /** An output whose writes block until [opened]. */
    private class StalledOutput : OutputStream() {
        val opened = CountDownLatch(1)
        val written = ByteArrayOutputStream()

        /** Ignores interrupts: stopping the context interrupts the writing thread, which must not abort a write. */
        private fun waitUntilOpened() {
            while (opened.count > 0) LockSupport.parkNanos(POLL_NANOS)
        }

        override fun write(byte: Int) {
            waitUntilOpened()
            written.write(byte)
        }

        override fun write(
            bytes: ByteArray,
            offset: Int,
            length: Int,
        ) {
            waitUntilOpened()
            written.write(bytes, offset, length)
        }
    }

    private val original = System.out
    private val output = StalledOutput()
    private val context =
        LoggerContext().apply {
            mdcAdapter = LogbackMDCAdapter()
            start()
        }

    init {
        System.setOut(PrintStream(output, true))
        LogConfiguration().configure(context)
    }

    @AfterEach
    fun restore() {
        output.opened.countDown()
        context.stop()
        System.setOut(original)
    }

    /** Guards against a control thread that blocks on a slow reader of the log. */
    @Test
    fun `a stalled reader does not block threads that log`() {
        repeat(LINES) { context.getLogger("anvilbarrow.cell").info("line {}", it) }
        output.opened.countDown()
        context.stop()
        expectThat(output.written.toString()).contains("INFO  anvilbarrow.cell: line 0\n")
    }

    /** Guards against a JSON format setting that does not reach the appender behind the queue. */
    @Test
    fun `the configured format applies to standard output`() {
        output.opened.countDown()
        LogOutput.use(LogFormat.JSON, context)
        context.getLogger("anvilbarrow.cell").info("a line")
        context.stop()
        val line =
            output.written
                .toString()
                .lines()
                .single { it.isNotEmpty() }
        expectThat(strictJson.parseToJsonElement(line).jsonObject)
            .get { getValue("message").jsonPrimitive.content }
            .isEqualTo("a line")
    }

    /** Guards against the thousands of lines that libraries log below the warning level. */
    @Test
    fun `libraries log only warnings and errors`() {
        output.opened.countDown()
        context.getLogger("org.eclipse.jetty").info("an info line of a library")
        context.getLogger("org.eclipse.jetty").warn("a warning of a library")
        context.stop()
        expectThat(
            output.written
                .toString()
                .lines()
                .filter { it.isNotEmpty() },
        ).single().contains("a warning")
    }

    private companion object {
        /** Exceeds the queue size. */
        const val LINES = 20_000
        const val POLL_NANOS = 1_000_000L
    }
}
