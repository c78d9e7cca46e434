package org.anvilbarrow.scheduler.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import org.anvilbarrow.scheduler.quickstart.Quickstart

/** `anvilbarrow quickstart`. */
internal class QuickstartCommand : CliktCommand(name = "quickstart") {
    override fun help(context: Context): String =
        "Runs schedulers and stand-ins of the platform in this process, sends requests and prints the results."

    override fun run() {
        val report = Quickstart().run()
        echo(report.text())
        if (!report.isGood) throw ProgramResult(1)
    }
}
