package org.anvilbarrow.ctl

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.anvilbarrow.protocol.resources.ResourceDocument
import org.anvilbarrow.protocol.resources.ResourceList

/** What the program prints. */
internal object Output {
    private val pretty = Json { prettyPrint = true }

    fun json(document: ResourceDocument): String = pretty.encodeToString(ResourceDocument.serializer(), document)

    fun json(list: ResourceList): String = pretty.encodeToString(ResourceList.serializer(), list)

    /** Returns a table with a column for every field that some object has; amounts are shown as JSON. */
    fun table(documents: List<ResourceDocument>): String {
        val fields = documents.flatMap { it.spec.keys }.distinct()
        val head = listOf("NAME", "VERSION") + fields.map { it.uppercase() }
        val rows =
            documents.map { document ->
                listOf(document.name, "${document.version}") +
                    fields.map { cell(document.spec[it]) }
            }
        val widths = head.indices.map { column -> (rows + listOf(head)).maxOf { it[column].length } }
        return (listOf(head) + rows).joinToString("\n") { row ->
            row.zip(widths) { cell, width -> cell.padEnd(width) }.joinToString("  ").trimEnd()
        }
    }

    private fun cell(value: JsonElement?): String =
        when (value) {
            null -> ""
            is JsonPrimitive -> value.content
            is JsonObject -> value.entries.joinToString(",") { "${it.key}=${cell(it.value)}" }
            else -> value.toString()
        }
}
