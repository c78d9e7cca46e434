package org.anvilbarrow.ctl

import com.github.ajalt.clikt.completion.completionOption
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.obj
import com.github.ajalt.clikt.core.requireObject
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.convert
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.long
import java.net.URI

/** Returns the program with all its commands. */
internal fun anvilCtl(): CliktCommand =
    AnvilCtl()
        .subcommands(Apply(), Get(), ListObjects(), Watch(), Delete(), Drain("drain"), Drain("undrain"))
        .completionOption()

private val kinds = listOf("teams", "regions", "shards", "upstreams", "workloads").associateWith { it }

internal class AnvilCtl : CliktCommand(name = "anvilctl") {
    private val servers by option("--server", envvar = "ANVILCTL_SERVERS", metavar = "URL", help = SERVER_HELP)
        .convert { text ->
            val uri = runCatching { URI(text) }.getOrNull()
            if (uri?.scheme != "http" || uri.host == null) fail("\"$text\" is no address like http://10.0.0.1:8080")
            uri
        }.multiple(default = listOf(URI("http://127.0.0.1:8080")))

    override fun help(context: Context) =
        """
        Declares and shows the objects of a cell.

        Exit codes: 0 done, 1 wrong command line, 2 invalid object, 3 not found, 4 conflict, 5 unknown outcome,
        6 refused for now, 7 no scheduler answers, 8 version too old to watch, 9 answer not understood.
        """.trimIndent()

    override fun run() {
        currentContext.obj = Session(Servers(servers))
    }

    private companion object {
        const val SERVER_HELP = "A scheduler; may be given several times, and the next is tried if one does not answer"
    }
}

internal class Get : CliktCommand(name = "get") {
    private val session by requireObject<Session>()
    private val kind by argument().choice(kinds)
    private val name by argument()
    private val output by option("-o", "--output").choice("table", "json").default("table")

    override fun help(context: Context) = "Shows one object."

    override fun run() {
        val found = session.get(kind, name)
        echo(if (output == "json") Output.json(found) else Output.table(listOf(found)))
    }
}

internal class ListObjects : CliktCommand(name = "list") {
    private val session by requireObject<Session>()
    private val kind by argument().choice(kinds)
    private val selectors by argument(help = "Conditions like region=lappi-a; all have to hold")
        .convert { if ('=' in it) it else fail("\"$it\" is no condition like region=lappi-a") }
        .multiple()
    private val output by option("-o", "--output").choice("table", "json").default("table")

    override fun help(context: Context) = "Shows the objects of one kind."

    override fun run() {
        val found = session.list(kind, selectors)
        echo(if (output == "json") Output.json(found) else Output.table(found.objects))
    }
}

internal class Delete : CliktCommand(name = "delete") {
    private val session by requireObject<Session>()
    private val kind by argument().choice(kinds)
    private val name by argument()
    private val version by option("--if-version", help = "Delete only this version").long()

    override fun help(context: Context) = "Deletes one object."

    override fun run() {
        val accepted = session.delete(kind, name, version)
        echo("${accepted.kind} ${accepted.name} deleted at version ${accepted.version}")
    }
}

internal class Drain(
    private val verb: String,
) : CliktCommand(name = verb) {
    private val session by requireObject<Session>()
    private val upstreams by argument().multiple(required = true)

    override fun help(context: Context) =
        if (verb ==
            "drain"
        ) {
            "Stops new work on upstreams; running tasks go on."
        } else {
            "Allows new work on upstreams again."
        }

    override fun run() =
        upstreams.forEach { upstream ->
            echo("$upstream: $verb in force at version ${session.drain(upstream, verb).version}")
        }
}
