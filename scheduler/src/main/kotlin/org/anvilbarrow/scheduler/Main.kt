package org.anvilbarrow.scheduler

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import org.anvilbarrow.scheduler.cli.CheckCommand
import org.anvilbarrow.scheduler.cli.QuickstartCommand
import org.anvilbarrow.scheduler.cli.RunCommand
import org.anvilbarrow.scheduler.cli.ServeCommand
import org.anvilbarrow.scheduler.cli.SettingsCommand
import org.anvilbarrow.scheduler.cli.StandInCommand
import org.anvilbarrow.scheduler.cli.StandInLogCommand
import org.anvilbarrow.scheduler.cli.StandInUpstreamCommand
import org.anvilbarrow.scheduler.cli.StandInVmListCommand

private class Anvilbarrow : CliktCommand(name = "anvilbarrow") {
    override fun run(): Unit = Unit
}

/** Starts the program `anvilbarrow`. */
public fun main(args: Array<String>) {
    val standIns =
        StandInCommand().subcommands(StandInUpstreamCommand(), StandInLogCommand(), StandInVmListCommand())
    Anvilbarrow()
        .subcommands(RunCommand(), ServeCommand(), CheckCommand(), SettingsCommand(), standIns, QuickstartCommand())
        .main(args)
}
