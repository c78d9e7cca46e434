package org.anvilbarrow.ctl

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.requireObject
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.inputStream
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject

internal class Apply : CliktCommand(name = "apply") {
    private val session by requireObject<Session>()
    private val file by option("-f", "--file", help = "JSON file, or - for standard input").inputStream().required()
    private val dryRun by option("--dry-run", help = "Only show what would be created or replaced").flag()
    private val anyVersion by option("--any-version", help = "Replace objects whatever their version").flag()

    override fun help(context: Context) =
        """
        Creates and replaces objects.

        The input is one object, a list of objects, or the output of "list -o json". An object with a version is
        replaced only if it still has that version.
        """.trimIndent()

    override fun run() {
        val text = file.use { it.readBytes().decodeToString() }
        when (val read = Declarations.read(text)) {
            is ReadDeclarations.Faulty -> throw CliktError(read.detail, statusCode = ExitCode.INVALID.status)
            is ReadDeclarations.Valid ->
                read.objects.sortedBy { it.rank }.let {
                    if (dryRun) {
                        show(
                            it,
                        )
                    } else {
                        applyAll(it)
                    }
                }
        }
    }

    private fun show(objects: List<Declaration>) =
        objects.forEach { declared ->
            val found = session.find(declared.plural, declared.name)
            val change =
                when {
                    found == null -> "would be created"
                    found.spec == declared.spec -> "would be written again without a difference"
                    else -> "would be replaced (has version ${found.version})"
                }
            echo("${declared.kind} ${declared.name} $change")
        }

    /** Upstreams need their shard and anchors need their upstreams, so new shards are first made without anchors. */
    private fun applyAll(objects: List<Declaration>) {
        val created =
            objects
                .filter { it.kind == "shard" && session.find(it.plural, it.name) == null }
                .associateWith { put(it.copy(spec = withoutAnchors(it.spec)), 0) }
        val later = objects.filter { it.kind == "shard" && it !in created }
        (objects.filter { it.kind in listOf("team", "upstream") }).forEach { put(it, expected(it)) }
        created.filterKeys { it.spec["anchors"] != NO_ANCHORS }.forEach { (shard, version) -> put(shard, version) }
        later.forEach { put(it, expected(it)) }
        objects.filter { it.kind in listOf("region", "workload") }.forEach { put(it, expected(it)) }
    }

    private fun expected(declared: Declaration) = if (anyVersion) null else declared.version

    private fun put(
        declared: Declaration,
        expectedVersion: Long?,
    ): Long {
        val version = session.put(declared.plural, declared.name, declared.spec, expectedVersion).version
        echo("${declared.kind} ${declared.name} in force at version $version")
        return version
    }

    private fun withoutAnchors(spec: JsonObject) = JsonObject(spec + ("anchors" to NO_ANCHORS))

    private companion object {
        val NO_ANCHORS = JsonArray(emptyList())
    }
}
