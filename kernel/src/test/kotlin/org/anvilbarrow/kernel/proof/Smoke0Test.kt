package org.anvilbarrow.kernel.proof

import org.junit.jupiter.api.Test

internal class Smoke0Test {
    @Test
    fun smoke() {
        val t = System.nanoTime()
        for (seed in 1L..10L) {
            val world = World(Plan(seed))
            val v = world.run()
            println("seed $seed ${v.take(3)} ${world.callers.endings} ${(System.nanoTime() - t) / 1000000} ms")
        }
    }
}
