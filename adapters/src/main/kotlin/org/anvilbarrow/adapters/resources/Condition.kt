package org.anvilbarrow.adapters.resources

import org.anvilbarrow.protocol.resources.FieldFault
import org.http4k.core.Request

/** The version that a change expects, as its `If-Match` or `If-None-Match` header says. */
internal data class Condition(
    val expectedVersion: Long?,
    val faults: List<FieldFault> = emptyList(),
) {
    companion object {
        fun of(request: Request): Condition {
            val match = request.header("If-Match")
            val noneMatch = request.header("If-None-Match")
            val version = match?.removeSurrounding("\"")?.toLongOrNull()
            return when {
                match != null && noneMatch != null -> faulty("If-None-Match", noneMatch, "absent beside If-Match")
                noneMatch != null && noneMatch != "*" -> faulty("If-None-Match", noneMatch, "*")
                match != null && (version == null || version < 1) -> faulty("If-Match", match, "a version, like \"12\"")
                else -> Condition(if (noneMatch == null) version else 0)
            }
        }

        private fun faulty(
            field: String,
            value: String,
            limit: String,
        ) = Condition(null, listOf(FieldFault(field, value, limit)))
    }
}
