package org.anvilbarrow.kernel.catalog

import kotlinx.serialization.SerializationException
import org.anvilbarrow.protocol.codec.strictJson
import org.anvilbarrow.protocol.log.CatalogPayload
import org.anvilbarrow.protocol.model.ResourceSpec

/** Encodes and decodes the payloads of the catalog's log records. */
public object CatalogPayloads {
    /** Encodes [payload] for the log. */
    public fun encode(payload: CatalogPayload): String = strictJson.encodeToString(CatalogPayload.serializer(), payload)

    /** Returns the payload in [text], or null if it is not one that every reader understands. */
    public fun decode(text: String): CatalogPayload? =
        try {
            strictJson.decodeFromString(CatalogPayload.serializer(), text).takeIf { it.isWellFormed() }
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
}

internal fun CatalogPayload.isWellFormed(): Boolean =
    when (this) {
        is CatalogPayload.ResourceChange -> {
            changeId.length in 1..CatalogLimits.MAX_CHANGE_ID_LENGTH && declares(kind, name, spec)
        }

        is CatalogPayload.Snapshot -> {
            asOfOffset >= 0 &&
                parts in 1..CatalogLimits.MAX_SNAPSHOT_PARTS &&
                part in 1..parts &&
                objects.all { declares(it.kind, it.name, it.spec) }
        }
    }

private fun declares(
    kind: String,
    name: String,
    spec: ResourceSpec?,
): Boolean {
    val known = ResourceKind.ofLabel(kind)
    return known != null && name.isNotEmpty() && (spec == null || ResourceKind.of(spec) == known)
}
