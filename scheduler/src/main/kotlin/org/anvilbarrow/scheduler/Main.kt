package org.anvilbarrow.scheduler

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import org.anvilbarrow.scheduler.cli.AccountCommand
import org.anvilbarrow.scheduler.cli.CheckCommand
import org.anvilbarrow.scheduler.cli.QuickstartCommand
import org.anvilbarrow.scheduler.cli.RehearseCommand
import org.anvilbarrow.scheduler.cli.RunCommand
import org.anvilbarrow.scheduler.cli.ServeCommand
import org.anvilbarrow.scheduler.cli.SettingsCommand
import org.anvilbarrow.scheduler.cli.StandInCommand
import org.anvilbarrow.scheduler.cli.StandInLogCommand
import org.anvilbarrow.scheduler.cli.StandInUpstreamCommand
import org.anvilbarrow.scheduler.cli.StandInVmListCommand
import org.anvilbarrow.scheduler.logging.LogConfiguration
import kotlin.system.exitProcess

private class Anvilbarrow : CliktCommand(name = "anvilbarrow") {
    override fun run(): Unit = Unit
}

/** Commands by name. Only the command that runs is created, to keep restarts fast. */
private val commands: Map<String, () -> CliktCommand> =
    mapOf(
        "run" to ::RunCommand,
        "serve" to ::ServeCommand,
        "check" to ::CheckCommand,
        "settings" to ::SettingsCommand,
        "account" to ::AccountCommand,
        "rehearse" to ::RehearseCommand,
        "stand-in" to {
            StandInCommand().subcommands(StandInUpstreamCommand(), StandInLogCommand(), StandInVmListCommand())
        },
        "quickstart" to ::QuickstartCommand,
    )

/** Entry point of the command line program `anvilbarrow`. */
public fun main(args: Array<String>) {
    val selected = args.firstOrNull()?.let(commands::get)
    val command = Anvilbarrow().subcommands(selected?.let { listOf(it()) } ?: commands.values.map { it() })
    val status =
        try {
            command.parse(args)
            0
        } catch (e: CliktError) {
            command.echoFormattedHelp(e)
            e.statusCode
        }
    LogConfiguration.flush()
    if (status != 0) exitProcess(status)
}
