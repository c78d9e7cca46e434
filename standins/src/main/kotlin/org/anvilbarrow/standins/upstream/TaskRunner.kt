package org.anvilbarrow.standins.upstream

import org.anvilbarrow.protocol.model.TaskId
import org.anvilbarrow.protocol.upstream.StartRefusal
import org.anvilbarrow.protocol.upstream.TaskHeaders
import org.anvilbarrow.standins.http.error
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.InputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.zip.CRC32

/** Runs the tasks that an [UpstreamModel] starts, each on the thread of its HTTP request. */
internal class TaskRunner {
    private val stops = ConcurrentHashMap<TaskId, CountDownLatch>()

    /** True if every task fails after it ran. */
    @Volatile
    var failTasks: Boolean = false

    /** Ends the run of [task] early. */
    fun stop(task: TaskId) {
        stops[task]?.countDown()
    }

    /** Starts the task of [instruction] on [model], runs it, and returns its answer, which is made while it is read. */
    fun run(
        model: UpstreamModel,
        instruction: TaskInstruction,
        request: Request,
    ): Response {
        val body = request.body.stream.buffered(BUFFER_BYTES)
        return when (val parsed = RunSpec.readFrom(body)) {
            is ParsedSpec.Malformed -> malformed(parsed.detail).also { discard(body) }
            is ParsedSpec.Valid -> start(model, instruction, parsed, body)
        }
    }

    private fun start(
        model: UpstreamModel,
        instruction: TaskInstruction,
        parsed: ParsedSpec.Valid,
        body: InputStream,
    ): Response {
        val stop = CountDownLatch(1)
        val running = stops.putIfAbsent(instruction.task, stop) != null
        val decision = if (running) StartDecision.Refused(StartRefusal.TASK_KNOWN) else model.start(instruction)
        if (decision is StartDecision.Refused) {
            stops.remove(instruction.task, stop)
            discard(body)
            return refusal(decision)
        }
        val end = { endOf(model, instruction.task, stop) }
        return runCatching { answer(instruction, parsed, body, stop, end) }.onFailure { end() }.getOrThrow()
    }

    private fun answer(
        instruction: TaskInstruction,
        parsed: ParsedSpec.Valid,
        body: InputStream,
        stop: CountDownLatch,
        end: () -> Unit,
    ): Response {
        val head = receive(instruction, parsed, body)
        val stopped = stop.await(parsed.spec.runMillis, TimeUnit.MILLISECONDS)
        if (stopped || failTasks || parsed.spec.fail) {
            end()
            return error(Status.INTERNAL_SERVER_ERROR, if (stopped) "the task was stopped" else "the task failed")
        }
        val stream = AnswerStream.of(head, stopped = { stop.count == 0L }, onWhole = end, onClosed = end)
        val response =
            Response(Status.OK)
                .header("Content-Type", "application/octet-stream")
        val sized = if (parsed.spec.chunked) response else response.header("Content-Length", "${stream.length}")
        return sized.body(stream, stream.length)
    }

    /** Reads the rest of the request's body. */
    private fun receive(
        instruction: TaskInstruction,
        parsed: ParsedSpec.Valid,
        body: InputStream,
    ): AnswerHead {
        val crc = CRC32()
        crc.update(parsed.consumed.toByteArray(Charsets.ISO_8859_1))
        var bytes = parsed.consumed.length.toLong()
        val buffer = ByteArray(BUFFER_BYTES)
        generateSequence { body.read(buffer).takeIf { it >= 0 } }.forEach { read ->
            crc.update(buffer, 0, read)
            bytes += read
        }
        return AnswerHead(instruction.requestId, parsed.spec.answerBytes, bytes, crc.value.toHex())
    }

    /** A connection closed with unread bytes is reset, which can destroy the refusal on its way. */
    private fun discard(body: InputStream) {
        val buffer = ByteArray(BUFFER_BYTES)
        var left = MAX_DISCARDED_BYTES
        while (left > 0) {
            val read = body.read(buffer)
            if (read == -1) return
            left -= read
        }
    }

    private fun endOf(
        model: UpstreamModel,
        task: TaskId,
        stop: CountDownLatch,
    ) {
        if (stops.remove(task, stop)) model.finish(task)
    }

    private companion object {
        const val BUFFER_BYTES = 16 * 1024
        const val MAX_DISCARDED_BYTES = 64L * 1024 * 1024
    }
}

/** Answers that the task did not run. */
internal fun refusal(refused: StartDecision.Refused): Response =
    error(Status.CONFLICT, "the task was not started: ${refused.reason.code}")
        .header(TaskHeaders.NOT_RUN, refused.reason.code)

/** Answers that the instruction is malformed; the task did not run. */
internal fun malformed(detail: String): Response =
    error(Status.BAD_REQUEST, detail).header(TaskHeaders.NOT_RUN, "malformed")
