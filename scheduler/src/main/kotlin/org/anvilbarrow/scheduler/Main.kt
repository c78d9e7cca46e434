package org.anvilbarrow.scheduler

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import org.anvilbarrow.scheduler.cli.AccountCommand
import org.anvilbarrow.scheduler.cli.CheckCommand
import org.anvilbarrow.scheduler.cli.QuickstartCommand
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

/** Starts the program `anvilbarrow`. */
public fun main(args: Array<String>) {
    val standIns =
        StandInCommand().subcommands(StandInUpstreamCommand(), StandInLogCommand(), StandInVmListCommand())
    val command =
        Anvilbarrow()
            .subcommands(
                RunCommand(),
                ServeCommand(),
                CheckCommand(),
                SettingsCommand(),
                AccountCommand(),
                standIns,
                QuickstartCommand(),
            )
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
