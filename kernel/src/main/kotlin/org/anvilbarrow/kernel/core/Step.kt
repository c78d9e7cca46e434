package org.anvilbarrow.kernel.core

/** Result of handling one event: the new state and what is to be done, in order. */
public data class Step<out S>(
    val state: S,
    val effects: List<Effect>,
)
