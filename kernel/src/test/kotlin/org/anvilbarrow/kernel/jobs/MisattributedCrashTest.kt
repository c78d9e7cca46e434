package org.anvilbarrow.kernel.jobs

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Guards against jobs that are failed although fewer than two upstreams crashed under any of their tasks. */
class MisattributedCrashTest {
    @ParameterizedTest
    @ValueSource(ints = [160, 269, 374])
    fun `no job is failed for crashes of upstreams that its orders did not reach`(seed: Int): Unit =
        RandomCrashDay(seed).play()
}
