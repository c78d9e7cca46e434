package org.anvilbarrow.adapters.platform

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.builtins.ListSerializer
import org.anvilbarrow.protocol.log.VmEntry
import org.http4k.core.Method
import org.http4k.core.Request

/**
 * Reads the platform's VM list over HTTP at [baseUrl], for example `http://10.0.0.9:7001`.
 *
 * A reply that is malformed, names a VM twice or is longer than the limit counts as no list.
 */
public class HttpVmListClient(
    private val baseUrl: String,
    private val limits: PlatformClientLimits = PlatformClientLimits(),
) : VmListClient,
    AutoCloseable {
    private val transport = JettyTransport("vm-list-client", limits)

    override fun list(): List<VmEntry>? {
        val reply =
            transport.call(limits.callTimeout, limits.maxVmListBytes) { Request(Method.GET, "$baseUrl/v1/vms") }
        return when (reply) {
            is CallReply.NotSent -> unread(reply.detail)
            is CallReply.Unknown -> unread(reply.detail)
            is CallReply.Replied -> decoded(reply)
        }
    }

    override fun close(): Unit = transport.close()

    private fun decoded(reply: CallReply.Replied): List<VmEntry>? {
        if (reply.status != STATUS_OK) return unread("it answered ${reply.status}")
        return when (val decoded = reply.decode(ListSerializer(VmEntry.serializer()), ::problemOf)) {
            is DecodedReply.Valid -> decoded.value
            is DecodedReply.Malformed -> unread(decoded.detail)
        }
    }

    private fun problemOf(vms: List<VmEntry>): String? {
        val names = HashSet<String>()
        return vms.firstOrNull { !names.add(it.name) }?.let { "the VM ${it.name} is listed twice" }
    }

    private fun unread(detail: String): List<VmEntry>? {
        logger.debug { "platform: the VM list at $baseUrl cannot be read: $detail" }
        return null
    }

    private companion object {
        const val STATUS_OK = 200
        val logger = KotlinLogging.logger {}
    }
}
