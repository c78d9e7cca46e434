package org.anvilbarrow.adapters.resources

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.anvilbarrow.kernel.catalog.ResourceKind
import org.anvilbarrow.protocol.resources.FieldFault
import org.anvilbarrow.protocol.resources.ResourceDocument
import org.http4k.core.Request
import org.http4k.core.queries

/** Conditions on a list, for example `region=lappi-a&resources.slots=1`; all have to hold. */
internal data class Selectors(
    private val conditions: List<Pair<String, String>>,
    val faults: List<FieldFault>,
) {
    fun match(document: ResourceDocument): Boolean =
        conditions.all { (field, value) ->
            val spec: JsonElement? = document.spec
            val found = field.split('.').fold(spec) { at, name -> (at as? JsonObject)?.get(name) }
            if (field == NAME) document.name == value else (found as? JsonPrimitive)?.content == value
        }

    companion object {
        private const val NAME = "name"

        fun of(
            kind: ResourceKind,
            request: Request,
        ): Selectors {
            val conditions = request.uri.queries().map { (field, value) -> field to value.orEmpty() }
            val faults =
                conditions
                    .filterNot { (field, _) -> field == NAME || SpecSchema.hasField(kind, field) }
                    .map { (field, value) -> FieldFault(field, value, "name or a field of a ${kind.label}'s spec") }
            return Selectors(conditions, faults)
        }
    }
}
