package org.anvilbarrow.adapters.platform

import org.anvilbarrow.protocol.log.VmEntry

/** Reads the platform's VM list over HTTP at [baseUrl], for example `http://10.0.0.9:7001`. */
public class HttpVmListClient(
    private val baseUrl: String,
    private val limits: PlatformClientLimits = PlatformClientLimits(),
) : VmListClient,
    AutoCloseable {
    override fun list(): List<VmEntry>? = null

    override fun close(): Unit = Unit
}
