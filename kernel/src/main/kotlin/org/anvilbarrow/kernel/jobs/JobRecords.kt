package org.anvilbarrow.kernel.jobs

import org.anvilbarrow.protocol.jobs.CrashRecord
import org.anvilbarrow.protocol.jobs.JobId
import org.anvilbarrow.protocol.jobs.ProgressRecord
import org.anvilbarrow.protocol.jobs.StepProgress
import org.anvilbarrow.protocol.jobs.TaskCrashes

/**
 * Splits what is stored of a job into records below the size limit of the store.
 *
 * A job usually has one record of a kind, whose key ends with its id; further parts follow as `ID#1`, `ID#2`. All parts
 * are stored in one call, so that a row may move from one to another.
 */
internal object JobRecords {
    private const val PART_SEPARATOR = '#'

    /** Estimated size up to which rows share a record. Half of what the store accepts, as the estimate is rough. */
    private const val MAX_PART_BYTES = 128 * 1_024

    /** Estimated size of all parts of a job and kind together: a quarter of what the store accepts in one call. */
    private const val MAX_TOTAL_BYTES = 512 * 1_024

    private const val ROW_BYTES = 96
    private const val NUMBER_BYTES = 9
    private const val ENTRY_BYTES = 8
    private const val BYTES_PER_CHAR = 3
    private const val INCARNATION_BYTES = 64

    /** Tasks whose failures and checkpoints share a row of a step that is too large for one. */
    private const val TASKS_PER_ROW = 100

    fun key(
        prefix: String,
        job: JobId,
        part: Int,
    ): String = if (part == 0) "$prefix$job" else "$prefix$job$PART_SEPARATOR$part"

    /** Returns the id of the job that a key without its prefix belongs to. */
    fun jobOf(key: String): String = key.substringBefore(PART_SEPARATOR)

    /** Returns the id of the job that a whole key belongs to, or null for keys of other records. */
    fun jobOfKey(key: String): JobId? =
        listOf(ShardKeyPrefixes.SUBMISSION, ShardKeyPrefixes.PROGRESS, ShardKeyPrefixes.CRASHES)
            .find(key::startsWith)
            ?.let { JobId(jobOf(key.removePrefix(it))) }

    /** Returns the number of the part that a key belongs to. */
    fun partOf(key: String): Int = key.substringAfter(PART_SEPARATOR, "0").toIntOrNull() ?: 0

    /** Returns the records of [steps]. Checkpoints that take too much room are left out, which costs repeated work. */
    fun progress(steps: Collection<StepProgress>): List<ProgressRecord> {
        val whole = steps.sumOf(::bytesOf)
        val kept = if (whole > MAX_TOTAL_BYTES) steps.map { it.copy(checkpoints = emptyMap()) } else steps
        if (whole <= MAX_PART_BYTES) return listOf(ProgressRecord(kept.toList()))
        return pack(kept.flatMap(::split), ::bytesOf).map(::ProgressRecord)
    }

    /** Returns the records of [tasks]; of too many, those with crashes are kept before mere trials. */
    fun crashes(tasks: List<TaskCrashes>): List<CrashRecord> {
        if (tasks.isEmpty()) return emptyList()
        var room = MAX_TOTAL_BYTES
        val kept =
            tasks
                .sortedBy { it.crashed.isEmpty() && it.likely.isEmpty() }
                .takeWhile { task ->
                    room -= bytesOf(task)
                    room >= 0
                }
        return pack(kept, ::bytesOf).map(::CrashRecord)
    }

    private fun bytesOf(step: StepProgress): Int =
        ROW_BYTES + step.done.size * NUMBER_BYTES +
            step.failures.values.sumOf { ENTRY_BYTES + it.size * NUMBER_BYTES } +
            step.checkpoints.values.sumOf { ENTRY_BYTES + it.length * BYTES_PER_CHAR }

    private fun bytesOf(task: TaskCrashes): Int =
        ROW_BYTES + INCARNATION_BYTES * (1 + task.crashed.size + task.likely.size + task.unproven.size)

    private fun split(step: StepProgress): List<StepProgress> {
        if (bytesOf(step) <= MAX_PART_BYTES) return listOf(step)
        val first = step.copy(failures = emptyMap(), checkpoints = emptyMap())
        val rows =
            (step.failures.keys + step.checkpoints.keys).sorted().chunked(TASKS_PER_ROW).map { tasks ->
                first.copy(
                    done = LongArray(0),
                    failures = step.failures.filterKeys(tasks::contains),
                    checkpoints = step.checkpoints.filterKeys(tasks::contains),
                )
            }
        return listOf(first) + rows
    }

    private fun <T> pack(
        rows: List<T>,
        bytesOf: (T) -> Int,
    ): List<List<T>> {
        val parts = ArrayList<ArrayList<T>>()
        var room = 0
        for (row in rows) {
            if (parts.isEmpty() || bytesOf(row) > room) {
                parts += ArrayList<T>()
                room = MAX_PART_BYTES
            }
            parts.last() += row
            room -= bytesOf(row)
        }
        return parts
    }
}
