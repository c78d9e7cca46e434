package org.anvilbarrow.scheduler.cli

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class ThreadFailureHandlerTest {
    /** Guards against a process without a control thread whose other threads hold requests until they time out. */
    @TestFactory
    fun `an error ends the process, an exception only ends its thread`() =
        listOf(
            Triple("no memory", OutOfMemoryError(), listOf(70)),
            Triple("no stack", StackOverflowError(), listOf(70)),
            Triple("missing class", NoClassDefFoundError(), listOf(70)),
            Triple("exception", IllegalStateException(), emptyList()),
        ).map { (name, cause, expected) ->
            DynamicTest.dynamicTest(name) {
                val halted = ArrayList<Int>()
                Thread({ throw cause }, "failing").run {
                    uncaughtExceptionHandler = ThreadFailureHandler(halted::add)
                    start()
                    join()
                }
                expectThat(halted).isEqualTo(ArrayList(expected))
            }
        }
}
