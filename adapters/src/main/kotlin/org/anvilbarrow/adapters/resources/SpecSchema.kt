package org.anvilbarrow.adapters.resources

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull
import org.anvilbarrow.kernel.catalog.ResourceKind
import org.anvilbarrow.protocol.model.RegionSpec
import org.anvilbarrow.protocol.model.ShardSpec
import org.anvilbarrow.protocol.model.TeamSpec
import org.anvilbarrow.protocol.model.UpstreamSpec
import org.anvilbarrow.protocol.model.WorkloadSpec
import org.anvilbarrow.protocol.resources.FieldFault

/** Checks the JSON of a spec field by field, as the decoder's own messages name neither the value nor the limit. */
@OptIn(ExperimentalSerializationApi::class)
internal object SpecSchema {
    /** Returns what is wrong with [spec] as the spec of an object of [kind]. */
    fun check(
        kind: ResourceKind,
        spec: JsonElement,
    ): List<FieldFault> = check("spec", spec, descriptorOf(kind))

    /** Returns true if a spec of [kind] has a field at [path], for example `resources.slots`. */
    fun hasField(
        kind: ResourceKind,
        path: String,
    ): Boolean {
        val start: SerialDescriptor? = descriptorOf(kind)
        return path.split('.').fold(start) { at, name -> at?.child(name) } != null
    }

    private fun SerialDescriptor.child(name: String): SerialDescriptor? =
        getElementIndex(name).takeIf { kind == StructureKind.CLASS && it >= 0 }?.let(::getElementDescriptor)

    private fun descriptorOf(kind: ResourceKind): SerialDescriptor =
        when (kind) {
            ResourceKind.TEAM -> TeamSpec.serializer()
            ResourceKind.REGION -> RegionSpec.serializer()
            ResourceKind.SHARD -> ShardSpec.serializer()
            ResourceKind.UPSTREAM -> UpstreamSpec.serializer()
            ResourceKind.WORKLOAD -> WorkloadSpec.serializer()
        }.descriptor

    private fun check(
        path: String,
        value: JsonElement,
        type: SerialDescriptor,
    ): List<FieldFault> =
        when {
            type.isInline -> check(path, value, type.getElementDescriptor(0))
            value is JsonNull -> faultUnless(type.isNullable, path, value, "not null")
            type.kind == StructureKind.CLASS -> checkObject(path, value, type)
            type.kind == StructureKind.LIST -> checkList(path, value, type)
            type.kind == SerialKind.ENUM -> checkEnum(path, value, type)
            else -> checkPrimitive(path, value, type.kind)
        }

    private fun checkObject(
        path: String,
        value: JsonElement,
        type: SerialDescriptor,
    ): List<FieldFault> {
        if (value !is JsonObject) return listOf(fault(path, value, "an object"))
        val names = type.elementNames.toList()
        val unknown =
            (value.keys - names.toSet()).map {
                fault(
                    "$path.$it",
                    value.getValue(it),
                    "one of the fields $names",
                )
            }
        return unknown +
            names.flatMapIndexed { index, name ->
                val field = value[name]
                when {
                    field != null -> check("$path.$name", field, type.getElementDescriptor(index))
                    type.isElementOptional(index) -> emptyList()
                    else -> listOf(FieldFault("$path.$name", "missing", "given"))
                }
            }
    }

    private fun checkList(
        path: String,
        value: JsonElement,
        type: SerialDescriptor,
    ): List<FieldFault> =
        if (value is JsonArray) {
            value.flatMapIndexed { index, item -> check("$path[$index]", item, type.getElementDescriptor(0)) }
        } else {
            listOf(fault(path, value, "a list"))
        }

    private fun checkEnum(
        path: String,
        value: JsonElement,
        type: SerialDescriptor,
    ): List<FieldFault> {
        val names = type.elementNames.toList()
        val valid = value is JsonPrimitive && value.isString && value.content in names
        return faultUnless(valid, path, value, "one of $names")
    }

    private fun checkPrimitive(
        path: String,
        value: JsonElement,
        kind: SerialKind,
    ): List<FieldFault> {
        val primitive = value as? JsonPrimitive
        val number = primitive?.takeUnless { it.isString }
        return when (kind) {
            PrimitiveKind.STRING -> faultUnless(primitive?.isString == true, path, value, "a string")
            PrimitiveKind.BOOLEAN -> faultUnless(number?.booleanOrNull != null, path, value, "true or false")
            PrimitiveKind.INT -> faultUnless(number?.intOrNull != null, path, value, "a whole number of 32 bits")
            else -> faultUnless(number?.longOrNull != null, path, value, "a whole number of 64 bits")
        }
    }

    private fun faultUnless(
        valid: Boolean,
        path: String,
        value: JsonElement,
        limit: String,
    ) = if (valid) emptyList() else listOf(fault(path, value, limit))

    private fun fault(
        path: String,
        value: JsonElement,
        limit: String,
    ) = FieldFault(path, value.toString().take(SHOWN_CHARACTERS), limit)

    /** A longer value is cut in messages. */
    private const val SHOWN_CHARACTERS = 100
}
