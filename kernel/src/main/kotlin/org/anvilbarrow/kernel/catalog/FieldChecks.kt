package org.anvilbarrow.kernel.catalog

import org.anvilbarrow.protocol.model.Resources

private val namePattern = Regex("[a-z0-9]([-a-z0-9]*[a-z0-9])?")

internal fun checkName(
    field: String,
    name: String,
): List<SpecError> {
    val valid = name.length <= SpecLimits.MAX_NAME_LENGTH && namePattern.matches(name)
    val limit = "1 to ${SpecLimits.MAX_NAME_LENGTH} lower-case letters, digits and inner hyphens"
    return errorUnless(valid, SpecErrorCode.BAD_NAME, field, name.take(SHOWN_CHARACTERS), limit)
}

internal fun checkRange(
    field: String,
    value: Long,
    range: LongRange,
): List<SpecError> =
    errorUnless(value in range, SpecErrorCode.OUT_OF_RANGE, field, value, "${range.first} to ${range.last}")

internal fun checkResources(
    field: String,
    amount: Resources,
    max: Resources,
): List<SpecError> =
    checkRange("$field.cpuMillicores", amount.cpuMillicores.toLong(), 0L..max.cpuMillicores) +
        checkRange("$field.memoryMebibytes", amount.memoryMebibytes.toLong(), 0L..max.memoryMebibytes) +
        checkRange("$field.accelerators", amount.accelerators.toLong(), 0L..max.accelerators) +
        checkRange("$field.slots", amount.slots.toLong(), 0L..max.slots) +
        checkRange("$field.connections", amount.connections.toLong(), 0L..max.connections)

internal fun checkSomeResource(
    field: String,
    amount: Resources,
): List<SpecError> =
    errorUnless(amount != Resources.NONE, SpecErrorCode.OUT_OF_RANGE, field, "nothing", "at least one resource above 0")

internal fun checkAddress(
    field: String,
    address: String,
): List<SpecError> {
    val host = address.substringBeforeLast(':', "")
    val port = address.substringAfterLast(':').toIntOrNull() ?: 0
    val valid = (ipv4Pattern.matches(host) || ipv6Pattern.matches(host)) && port in 1..SpecLimits.MAX_PORT
    val limit = "an IP address and a port, for example 10.0.0.7:8080 or [fd00::7]:8080"
    return errorUnless(valid, SpecErrorCode.BAD_FORM, field, address.take(SHOWN_CHARACTERS), limit)
}

internal fun errorUnless(
    valid: Boolean,
    code: SpecErrorCode,
    field: String,
    value: Any,
    limit: String,
): List<SpecError> = if (valid) emptyList() else listOf(SpecError(code, field, value.toString(), limit))

private val ipv4Pattern = Regex("""((25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(\.(?!$)|$)){4}""")
private val ipv6Pattern = Regex("""\[[0-9a-f]{0,4}(:[0-9a-f]{0,4}){2,7}]""")

/** A longer value is cut in messages. */
private const val SHOWN_CHARACTERS = 100
