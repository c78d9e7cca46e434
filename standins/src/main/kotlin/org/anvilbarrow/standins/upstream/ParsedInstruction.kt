package org.anvilbarrow.standins.upstream

import kotlinx.serialization.SerializationException
import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.model.Resources
import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.upstream.TaskHeaders
import org.http4k.core.Request

/** Result of reading the headers of an instruction. */
internal sealed interface ParsedInstruction {
    data class Valid(
        val instruction: TaskInstruction,
    ) : ParsedInstruction

    data class Malformed(
        val detail: String,
    ) : ParsedInstruction
}

/** Reads the headers of an instruction to start [task]. */
internal fun Request.instruction(task: TaskId): ParsedInstruction =
    try {
        ParsedInstruction.Valid(
            TaskInstruction(
                task = task,
                requestId = required(TaskHeaders.REQUEST_ID),
                workload = required(TaskHeaders.WORKLOAD),
                leaseEpoch = number(TaskHeaders.LEASE_EPOCH),
                upstreamIncarnation = number(TaskHeaders.UPSTREAM_INCARNATION),
                startByUpstreamMillis = number(TaskHeaders.START_BY_MILLIS),
                resources = strictJson.decodeFromString(Resources.serializer(), required(TaskHeaders.RESOURCES)),
            ),
        )
    } catch (e: SerializationException) {
        ParsedInstruction.Malformed("${TaskHeaders.RESOURCES}: ${e.message}")
    } catch (e: IllegalArgumentException) {
        ParsedInstruction.Malformed(e.message ?: "a header is not valid")
    }

private fun Request.number(name: String): Long =
    requireNotNull(required(name).toLongOrNull()) { "the header $name is not a number" }

/** http4k's Jetty handler splits header values at commas. */
private fun Request.required(name: String): String {
    val values = headerValues(name)
    require(values.isNotEmpty()) { "the header $name is missing" }
    return values.joinToString(",")
}
