package org.anvilbarrow.ctl

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import org.anvilbarrow.protocol.codec.strictJson

/** An object as a file declares it. */
@Serializable
internal data class Declaration(
    val kind: String,
    val name: String,
    val spec: JsonObject,
    val version: Long? = null,
) {
    val plural get() = kind + "s"

    /** Place in the order in which objects can be created. */
    val rank get() = Declarations.KINDS.indexOf(kind)
}

/** Result of reading a file of declarations. */
internal sealed interface ReadDeclarations {
    data class Valid(
        val objects: List<Declaration>,
    ) : ReadDeclarations

    data class Faulty(
        val detail: String,
    ) : ReadDeclarations
}

internal object Declarations {
    val KINDS = listOf("team", "shard", "upstream", "region", "workload")

    /** Reads one object, a list of objects, or the answer to a list call. */
    fun read(text: String): ReadDeclarations =
        try {
            val objects =
                elements(strictJson.parseToJsonElement(text)).map {
                    strictJson.decodeFromJsonElement(Declaration.serializer(), it)
                }
            val unknown = objects.firstOrNull { it.rank < 0 }
            val twice =
                objects
                    .groupBy { it.kind to it.name }
                    .values
                    .firstOrNull { it.size > 1 }
                    ?.first()
            when {
                unknown != null -> ReadDeclarations.Faulty("kind is \"${unknown.kind}\", must be one of $KINDS")
                twice != null -> ReadDeclarations.Faulty("${twice.kind} \"${twice.name}\" is declared twice")
                else -> ReadDeclarations.Valid(objects)
            }
        } catch (e: SerializationException) {
            ReadDeclarations.Faulty("the input is not a list of objects with kind, name and spec: ${e.message}")
        }

    private fun elements(json: JsonElement): List<JsonElement> =
        when {
            json is JsonArray -> json
            json is JsonObject && json["objects"] is JsonArray -> json["objects"] as JsonArray
            else -> listOf(json)
        }
}
