package org.anvilbarrow.adapters.resources

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import org.anvilbarrow.kernel.catalog.CatalogChange
import org.anvilbarrow.kernel.catalog.CatalogEvent
import org.anvilbarrow.kernel.catalog.ResourceKind
import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.log.SnapshotObject
import org.anvilbarrow.protocol.model.ResourceSpec
import org.anvilbarrow.protocol.resources.FieldFault
import org.anvilbarrow.protocol.resources.ResourceDocument
import org.anvilbarrow.protocol.resources.WatchLine
import org.anvilbarrow.protocol.resources.WatchLineType

/** Converts between specs and the JSON of the resource interface, where the path names the type of a spec. */
internal object ResourceJson {
    private const val TYPE = "type"

    fun encode(spec: ResourceSpec): JsonObject =
        JsonObject(strictJson.encodeToJsonElement(ResourceSpec.serializer(), spec).jsonObject - TYPE)

    fun document(declared: SnapshotObject): ResourceDocument =
        ResourceDocument(declared.kind, declared.name, declared.version, encode(declared.spec))

    /** Decodes the spec of an object of [kind]. */
    fun decode(
        kind: ResourceKind,
        text: String,
    ): DecodedSpec {
        val json = parse(text) ?: return DecodedSpec.Faulty(listOf(FieldFault("body", text.take(SHOWN), "JSON")))
        val faults = SpecSchema.check(kind, json)
        if (faults.isNotEmpty()) return DecodedSpec.Faulty(faults)
        val typed = JsonObject(json.jsonObject + (TYPE to JsonPrimitive(kind.label)))
        return DecodedSpec.Valid(strictJson.decodeFromJsonElement(ResourceSpec.serializer(), typed))
    }

    private fun parse(text: String): JsonElement? =
        try {
            strictJson.parseToJsonElement(text)
        } catch (_: SerializationException) {
            null
        }

    /** Returns the line of a watch for [event]. */
    fun line(event: CatalogEvent): WatchLine {
        val (type, spec) =
            when (val change = event.change) {
                is CatalogChange.Created -> WatchLineType.CREATED to change.spec
                is CatalogChange.Replaced -> WatchLineType.REPLACED to change.spec
                is CatalogChange.Deleted -> WatchLineType.DELETED to null
            }
        return WatchLine(type, event.version, event.kind.label, event.name, spec?.let(::encode))
    }

    private const val SHOWN = 100
}

/** Result of decoding the body of a change. */
internal sealed interface DecodedSpec {
    data class Valid(
        val spec: ResourceSpec,
    ) : DecodedSpec

    data class Faulty(
        val faults: List<FieldFault>,
    ) : DecodedSpec
}
