package org.anvilbarrow.ctl

import com.github.ajalt.clikt.core.main

/** Runs `anvilctl`. */
public fun main(args: Array<String>): Unit = anvilCtl().main(args)
