package org.anvilbarrow.adapters.http

import org.anvilbarrow.protocol.model.RequestId
import org.anvilbarrow.protocol.model.WorkRequest
import org.http4k.core.Request
import org.http4k.core.Status
import java.time.DateTimeException
import java.time.Duration
import java.time.Instant
import java.time.OffsetDateTime

/** Result of checking a request's path and headers. */
internal sealed interface CheckedRequest {
    data class Accepted(
        val request: WorkRequest,
    ) : CheckedRequest

    data class Faulty(
        val status: Status,
        val error: String,
        val faults: List<RequestFault>,
    ) : CheckedRequest
}

/** Checks the path and the headers of a request and reports every fault at once. */
internal class RequestCheck(
    private val limits: CallerLimits,
) {
    fun check(
        workload: String,
        request: Request,
    ): CheckedRequest {
        val faults = mutableListOf<RequestFault>()
        if (!WORKLOAD.matches(workload)) {
            faults += RequestFault("workload", workload.shortened(), "1 to 128 of a-z, 0-9, '.', '-', first a-z or 0-9")
        }
        val id = request.single(CallerHeaders.REQUEST_ID, ID_RULE, faults)?.takeIf { checkId(it, faults) }
        val issuedAt = request.time(CallerHeaders.ISSUED_AT, faults)
        val deadline = request.time(CallerHeaders.DEADLINE, faults)
        if (issuedAt != null && deadline != null) checkOrder(issuedAt, deadline, faults)
        val first = attempt(request, faults)
        if (faults.isNotEmpty()) return CheckedRequest.Faulty(Status.BAD_REQUEST, "the request is malformed", faults)
        val work =
            WorkRequest(
                id = RequestId(known(id)),
                workload = workload,
                issuedAtEpochMillis = known(issuedAt).toEpochMilli(),
                deadlineEpochMillis = known(deadline).toEpochMilli(),
                firstAttempt = first,
                traceparent = request.header(CallerHeaders.TRACEPARENT)?.takeIf(TRACEPARENT::matches),
            )
        return checkBody(request, work)
    }

    private fun <T : Any> known(value: T?): T = checkNotNull(value) { "a missing value was not reported" }

    private fun checkId(
        id: String,
        faults: MutableList<RequestFault>,
    ): Boolean =
        ID.matches(id).also { valid ->
            if (!valid) faults += RequestFault(CallerHeaders.REQUEST_ID, id.shortened(), ID_RULE)
        }

    private fun checkOrder(
        issuedAt: Instant,
        deadline: Instant,
        faults: MutableList<RequestFault>,
    ) {
        val length = Duration.between(issuedAt, deadline)
        if (length <= Duration.ZERO || length > limits.maxDeadline) {
            val allowed = "after ${CallerHeaders.ISSUED_AT} ($issuedAt) by at most ${limits.maxDeadline}"
            faults += RequestFault(CallerHeaders.DEADLINE, deadline.toString(), allowed)
        }
    }

    private fun attempt(
        request: Request,
        faults: MutableList<RequestFault>,
    ): Boolean {
        val values = request.headerValues(CallerHeaders.ATTEMPT)
        if (values.isNotEmpty() && values != listOf(FIRST)) {
            faults += RequestFault(CallerHeaders.ATTEMPT, values.joinToString().shortened(), "absent or '$FIRST'")
        }
        return values.isNotEmpty()
    }

    /** The length must be declared, as a body found to be too long halfway may already have reached an upstream. */
    private fun checkBody(
        request: Request,
        work: WorkRequest,
    ): CheckedRequest {
        val declared = request.header("Content-Length")
        val chunked = request.header("Transfer-Encoding")
        val bytes = if (declared == null && chunked == null) 0L else declared?.toLongOrNull()
        val allowed = "a Content-Length of 0 to ${limits.maxBodyBytes} bytes"
        return when {
            bytes == null -> faultyBody(Status.LENGTH_REQUIRED, chunked?.let { "Transfer-Encoding: $it" }, allowed)
            bytes > limits.maxBodyBytes -> faultyBody(Status.REQUEST_ENTITY_TOO_LARGE, "$bytes bytes", allowed)
            else -> CheckedRequest.Accepted(work.copy(bodyBytes = bytes))
        }
    }

    private fun faultyBody(
        status: Status,
        seen: String?,
        allowed: String,
    ) = CheckedRequest.Faulty(status, "the body is not accepted", listOf(RequestFault("body", seen, allowed)))

    private fun Request.single(
        name: String,
        rule: String,
        faults: MutableList<RequestFault>,
    ): String? {
        val values = headerValues(name).filterNotNull()
        if (values.size == 1) return values.single()
        val seen = if (values.isEmpty()) null else "${values.size} values: ${values.joinToString().shortened()}"
        faults += RequestFault(name, seen, "exactly one value: $rule")
        return null
    }

    private fun Request.time(
        name: String,
        faults: MutableList<RequestFault>,
    ): Instant? {
        val value = single(name, TIME_RULE, faults) ?: return null
        val time =
            try {
                OffsetDateTime.parse(value).toInstant()
            } catch (_: DateTimeException) {
                null
            }
        if (time == null || time < MIN_TIME || time > MAX_TIME) {
            faults += RequestFault(name, value.shortened(), TIME_RULE)
            return null
        }
        return time
    }

    private companion object {
        const val FIRST = "first"
        const val ID_RULE = "1 to ${RequestId.MAX_LENGTH} of A-Z, a-z, 0-9, '.', '_', ':', '-'"
        const val TIME_RULE = "an RFC 3339 time from 2000 to 2999, as 2026-08-07T10:15:30.250Z"
        val ID = Regex("[A-Za-z0-9._:-]{1,${RequestId.MAX_LENGTH}}")
        val WORKLOAD = Regex("[a-z0-9][a-z0-9.-]{0,127}")

        /** W3C Trace Context asks receivers to ignore a malformed value. */
        val TRACEPARENT = Regex("00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")
        val MIN_TIME: Instant = Instant.parse("2000-01-01T00:00:00Z")
        val MAX_TIME: Instant = Instant.parse("2999-12-31T23:59:59Z")
    }
}
